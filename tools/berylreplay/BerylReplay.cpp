// berylreplay: feeds a recorded trace to a decision core under a paused clock and prints the
// session.
#include "Session.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace berylridge;

namespace {

/// Compares what came with what the trace states; prints each difference.
bool matchesExpected(const OutcomeCounts &expected, const OutcomeCounts &outcome)
{
    bool isEqual = true;
    for (const auto &[name, count] : expected) {
        const auto found = outcome.find(name);
        const std::uint64_t actual = found == outcome.end() ? 0 : found->second;
        if (actual == count)
            continue;
        std::cerr << name << ": stated " << count << ", came " << actual << '\n';
        isEqual = false;
    }
    return isEqual;
}

int run(const std::string &file, const std::string &charts, bool isVerbose)
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
    const auto outcome = replayTrace(*trace, charts, isVerbose, std::cout);
    if (!outcome) {
        std::cerr << outcome.failureReason() << '\n';
        return 2;
    }
    for (const auto &[name, count] : *outcome)
        std::cout << name << ' ' << count << '\n';
    return matchesExpected(trace->expected, *outcome) ? 0 : 1;
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
        TCLAP::SwitchArg verbose("w", "whole", "print messages, polls and probes too", command);
        TCLAP::UnlabeledValueArg<std::string> file("trace", "trace file", true, "", "file",
                                                   command);
        command.parse(argc, argv);
        return run(file.getValue(), charts.getValue(), verbose.getValue());
    } catch (const std::exception &error) {
        std::cerr << "berylreplay: " << error.what() << '\n';
        return 2;
    }
}
