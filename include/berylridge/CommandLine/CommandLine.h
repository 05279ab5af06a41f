// Command-line parsing with TCLAP, and help in the layout of a manual page.
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
    std::string text;  ///< Lines are printed unchanged.
};

struct ManPage
{
    std::string name; ///< Includes the command, as in "berylctl collect".
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

    /// Returns the object to which TCLAP arguments are added.
    TCLAP::CmdLine &arguments() { return m_arguments; }

    /// Parses the command line, ignoring its first word. Returns an exit status if the program
    /// should end at once: after --help and --version, and after an invalid command line, which is
    /// reported on standard error.
    std::optional<int> parse(int argc, const char *const *argv);

private:
    class Output;
    ManPage m_page;
    std::unique_ptr<Output> m_output;
    TCLAP::CmdLine m_arguments;
};

} // namespace berylridge
