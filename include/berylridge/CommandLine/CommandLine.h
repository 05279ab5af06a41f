// A program's command line by TCLAP, with help laid out as a manual page.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace berylridge {

// Exit statuses of all programs.
inline constexpr int exitSuccess = 0;
inline constexpr int exitErrorsFound = 1;
inline constexpr int exitUsageError = 2;

struct ManSection
{
    std::string title; ///< In capitals, as in "EXAMPLES".
    std::string text;  ///< Lines stand as they are given.
};

struct ManPage
{
    std::string name; ///< With the command, as in "berylctl collect".
    std::string summary;
    std::string description;
    std::vector<ManSection> sections;
};

class CommandLine
{
public:
    explicit CommandLine(ManPage page);
    ~CommandLine();
    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;

    /// Where TCLAP's arguments are added.
    TCLAP::CmdLine &arguments() { return m_arguments; }

    /// The exit status where the program should end at once: after --help and --version, and on a
    /// wrong command line, which is said on standard error. The first word is passed over.
    std::optional<int> parse(int argc, const char *const *argv);

private:
    class Output;
    ManPage m_page;
    std::unique_ptr<Output> m_output;
    TCLAP::CmdLine m_arguments;
};

} // namespace berylridge
