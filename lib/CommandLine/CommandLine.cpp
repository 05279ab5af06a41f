// Prints help as a manual page and TCLAP's errors in the style of this project's messages.
#include "berylridge/CommandLine/CommandLine.h"

#include <cctype>
#include <iostream>
#include <string_view>

namespace berylridge {

namespace {

constexpr std::string_view indent = "    ";

void printIndented(std::string_view text, int depth)
{
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        if (!line.empty()) {
            for (int i = 0; i < depth; ++i)
                std::cout << indent;
        }
        std::cout << line << '\n';
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
}

void printSection(std::string_view title, std::string_view text)
{
    std::cout << '\n' << title << '\n';
    printIndented(text, 1);
}

bool isOperand(const TCLAP::Arg &argument)
{
    return argument.longID().find("--") == std::string::npos;
}

/// Returns the program's own options in the order in which they were added, then the options that
/// TCLAP defines, then operands.
std::vector<const TCLAP::Arg *> orderedArguments(TCLAP::CmdLineInterface &line)
{
    std::vector<const TCLAP::Arg *> options;
    std::vector<const TCLAP::Arg *> common;
    std::vector<const TCLAP::Arg *> operands;
    // TCLAP stores the option that was added last first, and operands after the options.
    const auto &given = line.getArgList();
    const std::vector<TCLAP::Arg *> declarationOrder(given.rbegin(), given.rend());
    for (const auto *argument : declarationOrder) {
        const auto &name = argument->getName();
        if (name == TCLAP::Arg::ignoreNameString())
            continue;
        if (isOperand(*argument))
            operands.push_back(argument);
        else if (name == "help" || name == "version")
            common.push_back(argument);
        else
            options.push_back(argument);
    }
    options.insert(options.end(), common.begin(), common.end());
    options.insert(options.end(), operands.begin(), operands.end());
    return options;
}

/// Returns a message of TCLAP in the style of this project's messages: it starts in lower case and
/// has no final punctuation.
std::string normalizedMessage(std::string text)
{
    const auto begin = text.find_first_not_of(' ');
    text = begin == std::string::npos ? std::string() : text.substr(begin);
    if (!text.empty())
        text[0] = static_cast<char>(std::tolower(static_cast<unsigned char>(text[0])));
    while (!text.empty() && (text.back() == '.' || text.back() == '!' || text.back() == ' '))
        text.pop_back();
    return text;
}

/// Returns the argument's plain name, such as "--out", where TCLAP has "Argument: (--out)".
std::string argumentName(const TCLAP::ArgException &error)
{
    auto text = normalizedMessage(error.argId());
    for (const std::string_view prefix : {"argument: ", "("}) {
        if (text.starts_with(prefix))
            text.erase(0, prefix.size());
    }
    if (text.ends_with(')'))
        text.pop_back();
    return text;
}

} // namespace

class CommandLine::Output : public TCLAP::CmdLineOutput
{
public:
    explicit Output(const ManPage &page)
        : m_page(page)
    {
    }

    void usage(TCLAP::CmdLineInterface &line) override
    {
        std::cout << "NAME\n";
        printIndented(m_page.name + " - " + m_page.summary, 1);
        printSection("SYNOPSIS", synopsis(line));
        printSection("DESCRIPTION", m_page.description);
        printOptions(line);
        for (const auto &section : m_page.sections)
            printSection(section.title, section.text);
        printSection("EXIT STATUS", "0  fine\n1  errors were found\n2  wrong usage");
    }

    void version(TCLAP::CmdLineInterface &line) override
    {
        std::cout << m_page.name.substr(0, m_page.name.find(' ')) << ' ' << line.getVersion()
                  << '\n';
    }

    void failure(TCLAP::CmdLineInterface & /*line*/, TCLAP::ArgException &error) override
    {
        std::cerr << m_page.name << ": " << normalizedMessage(error.error());
        if (const auto argument = argumentName(error); !argument.empty())
            std::cerr << " (" << argument << ")";
        std::cerr << "; see " << m_page.name << " --help\n";
    }

private:
    std::string synopsis(TCLAP::CmdLineInterface &line) const
    {
        std::string text = m_page.name;
        for (const auto *argument : orderedArguments(line))
            text += " " + argument->shortID();
        return text;
    }

    static void printOptions(TCLAP::CmdLineInterface &line)
    {
        std::cout << "\nOPTIONS\n";
        for (const auto *argument : orderedArguments(line)) {
            printIndented(argument->longID(), 1);
            printIndented(argument->getDescription(), 2);
        }
    }

    const ManPage &m_page;
};

CommandLine::CommandLine(ManPage page)
    : m_page(std::move(page))
    , m_output(std::make_unique<Output>(m_page))
    , m_arguments(m_page.summary, ' ', BERYLRIDGE_VERSION)
{
    m_arguments.setExceptionHandling(false);
    m_arguments.setOutput(m_output.get());
}

CommandLine::~CommandLine() = default;

std::optional<int> CommandLine::parse(int argc, const char *const *argv)
{
    try {
        m_arguments.parse(argc, argv);
    } catch (const TCLAP::ExitException &) {
        return exitSuccess;
    } catch (TCLAP::ArgException &error) {
        m_output->failure(m_arguments, error);
        return exitUsageError;
    }
    return std::nullopt;
}

} // namespace berylridge
