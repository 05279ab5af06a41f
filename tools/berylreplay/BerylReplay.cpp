// berylreplay: replays a recorded trace on a decision core under a manual clock and prints the
// resulting session.
#include "Session.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace berylridge;

namespace {

/// Compares the replayed counts with those that the trace expects and prints each difference.
bool matchesExpected(const OutcomeCounts &expected, const OutcomeCounts &outcome)
{
    bool isEqual = true;
    for (const auto &[name, count] : expected) {
        const auto found = outcome.find(name);
        const std::uint64_t actual = found == outcome.end() ? 0 : found->second;
        if (actual == count)
            continue;
        std::cerr << name << ": expected " << count << ", actual " << actual << '\n';
        isEqual = false;
    }
    return isEqual;
}

int run(const std::string &file, const std::string &charts, bool isVerbose)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot be read\n";
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
            "Exit status: 0 if the counts match the trace, 1 if they differ, 2 if the trace or a "
            "chart cannot be read.",
            ' ', BERYLRIDGE_VERSION);
        TCLAP::ValueArg<std::string> charts("c", "charts", "directory of the state charts", false,
                                            "charts", "directory", command);
        TCLAP::SwitchArg verbose("w", "whole", "also print messages, polls and probes", command);
        TCLAP::UnlabeledValueArg<std::string> file("trace", "trace file", true, "", "file",
                                                   command);
        command.parse(argc, argv);
        return run(file.getValue(), charts.getValue(), verbose.getValue());
    } catch (const std::exception &error) {
        std::cerr << "berylreplay: " << error.what() << '\n';
        return 2;
    }
}
