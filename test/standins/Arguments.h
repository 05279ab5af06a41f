// The command line of a stand-in: where it listens, and its own options, by TCLAP.
#pragma once

#include "berylridge/Support/Endpoint.h"

#include <deque>
#include <optional>
#include <string>
#include <tclap/CmdLine.h>

namespace berylridge::standin {

class Arguments
{
public:
    explicit Arguments(const std::string &purpose)
        : m_commandLine(purpose, ' ', BERYLRIDGE_VERSION)
        , m_address("", "address", "IP number to listen at", false, "127.0.0.1", "address",
                    m_commandLine)
        , m_port("", "port", "port to listen at; 0 takes a free one", false, 0, "port",
                 m_commandLine)
    {
        m_commandLine.setExceptionHandling(false);
    }

    /// Declares an option; its value is there once parse() has returned.
    TCLAP::ValueArg<double> &number(const std::string &name, const std::string &text, double value)
    {
        return m_numbers.emplace_back("", name, text, false, value, "number", m_commandLine);
    }
    TCLAP::ValueArg<std::string> &text(const std::string &name, const std::string &text,
                                       const std::string &value)
    {
        return m_texts.emplace_back("", name, text, false, value, "text", m_commandLine);
    }

    /// The exit status where the program should end at once.
    std::optional<int> parse(int argc, char **argv)
    {
        try {
            m_commandLine.parse(argc, argv);
        } catch (const TCLAP::ExitException &exit) {
            return exit.getExitStatus();
        } catch (const TCLAP::ArgException &error) {
            std::cerr << error.argId() << ": " << error.error() << '\n';
            return 2;
        }
        return std::nullopt;
    }

    Endpoint endpoint() { return {m_address.getValue(), m_port.getValue()}; }

private:
    TCLAP::CmdLine m_commandLine;
    TCLAP::ValueArg<std::string> m_address;
    TCLAP::ValueArg<std::uint16_t> m_port;
    std::deque<TCLAP::ValueArg<double>> m_numbers;
    std::deque<TCLAP::ValueArg<std::string>> m_texts;
};

} // namespace berylridge::standin
