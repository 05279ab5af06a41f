// `berylctl charts`: checks state chart files and prints their states and transitions.
#include "Command.h"
#include "Sources.h"

#include "berylridge/Chart/StateChart.h"
#include "berylridge/CommandLine/CommandLine.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace berylridge::ctl {

namespace {

std::vector<std::string> findChartFiles(const std::string &folder, std::error_code &error)
{
    std::vector<std::string> files;
    for (std::filesystem::directory_iterator entry(folder, error);
         !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        if (entry->path().extension() == ".json")
            files.push_back(entry->path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

void printChart(const std::string &file, const StateChart &chart)
{
    std::cout << std::filesystem::path(file).filename().string() << '\n';
    const auto states = chart.states();
    const auto signalNames = chart.signalNames();
    for (std::size_t state = 0; state < states.size(); ++state) {
        const auto from = static_cast<StateChart::Index>(state);
        std::cout << "    " << states[state] << (from == chart.initial() ? " (initial)" : "")
                  << (chart.isFinal(from) ? " (final)" : "") << '\n';
        for (std::size_t signal = 0; signal < signalNames.size(); ++signal) {
            const auto to = chart.next(from, static_cast<StateChart::Index>(signal));
            if (to && *to != from)
                std::cout << "        " << signalNames[signal] << " -> " << states[*to] << '\n';
        }
    }
}

} // namespace

int runCharts(int argc, Arguments argv)
{
    CommandLine line(
        {"berylctl charts",
         "check state charts and list them",
         "Checks each chart file in FOLDER and prints its states and the signals that lead\n"
         "from one to another; signals that a state ignores are left out.",
         {{"EXAMPLES", "berylctl charts charts/"}}});
    TCLAP::UnlabeledValueArg<std::string> folder("folder", "the folder of the chart files", true,
                                                 "", "FOLDER", line.arguments());
    if (const auto status = line.parse(argc, argv))
        return *status;
    std::error_code error;
    const auto files = findChartFiles(folder.getValue(), error);
    if (error || files.empty()) {
        printError(folder.getValue() + ": " + (error ? error.message() : "has no chart files"));
        return exitErrorsFound;
    }
    int status = exitSuccess;
    for (const auto &file : files) {
        const auto chart = StateChart::load(file);
        if (chart) {
            printChart(file, *chart);
            continue;
        }
        std::cerr << chart.failureReason() << '\n';
        status = exitErrorsFound;
    }
    return status;
}

} // namespace berylridge::ctl
