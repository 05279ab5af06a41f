// berylreplay: feeds a recorded trace to a decision core under a paused clock and prints the
// session.
#include "Session.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace berylridge;

namespace {

/// Compares what came with what the trace states; prints each difference.
bool isAsStated(const Outcome &expected, const Outcome &outcome)
{
    bool isSame = true;
    for (const auto &[name, count] : expected) {
        const auto found = outcome.find(name);
        const std::uint64_t actual = found == outcome.end() ? 0 : found->second;
        if (actual == count)
            continue;
        std::cerr << name << ": stated " << count << ", came " << actual << '\n';
        isSame = false;
    }
    return isSame;
}

int run(const std::string &file, const std::string &charts, bool isWhole)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": can't be read\n";
        return 2;
    }
    const auto trace = readTrace(file, in);
    if (!trace) {
        std::cerr << trace.failureReason() << '\n';
        return 2;
    }
    const auto outcome = replay(*trace, charts, isWhole, std::cout);
    if (!outcome) {
        std::cerr << outcome.failureReason() << '\n';
        return 2;
    }
    for (const auto &[name, count] : *outcome)
        std::cout << name << ' ' << count << '\n';
    return isAsStated(trace->expected, *outcome) ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command(
            "Replays a recorded trace on a decision core and prints the session. "
            "Exit status 0 as stated, 1 another outcome, 2 not readable.",
            ' ', BERYLRIDGE_VERSION);
        TCLAP::ValueArg<std::string> charts("c", "charts", "directory of the state charts", false,
                                            "charts", "directory", command);
        TCLAP::SwitchArg whole("w", "whole", "print messages, polls and probes too", command);
        TCLAP::UnlabeledValueArg<std::string> file("trace", "trace file", true, "", "file",
                                                   command);
        command.parse(argc, argv);
        return run(file.getValue(), charts.getValue(), whole.getValue());
    } catch (const std::exception &error) {
        std::cerr << "berylreplay: " << error.what() << '\n';
        return 2;
    }
}
