// Parses a stand-in's command line with TCLAP: the endpoint to listen on and the program's own
// options.
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
        , m_address("", "address", "IP address to listen on", false, "127.0.0.1", "address",
                    m_commandLine)
        , m_port("", "port", "port to listen on; 0 selects a free port", false, 0, "port",
                 m_commandLine)
    {
        m_commandLine.setExceptionHandling(false);
    }

    /// Declares an option. Its value is available after parse() has returned.
    TCLAP::ValueArg<double> &addNumber(const std::string &name, const std::string &description,
                                       double value)
    {
        return m_numbers.emplace_back("", name, description, false, value, "number", m_commandLine);
    }
    TCLAP::ValueArg<std::string> &addText(const std::string &name, const std::string &description,
                                          const std::string &value)
    {
        return m_texts.emplace_back("", name, description, false, value, "text", m_commandLine);
    }

    /// Returns an exit status if the program must exit at once: after --help, or on an error.
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
