// `berylctl events`: prints the catalogue of log events as the page docs/EVENTS.md.
#include "Command.h"

#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Support/LogEvent.h"

#include <iostream>

namespace berylridge::ctl {

namespace {

std::string_view groupName(unsigned thousand)
{
    switch (thousand) {
    case 1:
        return "The node itself";
    case 2:
        return "Membership";
    case 3:
        return "Configuration";
    case 4:
        return "Targets";
    case 5:
        return "Requests";
    case 6:
        return "Operators";
    default:
        return "Others";
    }
}

} // namespace

int runEvents(int argc, Arguments argv)
{
    CommandLine line(
        {"berylctl events",
         "print the catalogue of log events",
         "Prints the page docs/EVENTS.md from the catalogue that the programs are built with.",
         {{"EXAMPLES", "berylctl events > docs/EVENTS.md"}}});
    if (const auto status = line.parse(argc, argv))
        return *status;
    std::cout << "# Log events\n\nPrinted by `berylctl events`. A number is never given twice.\n";
    unsigned group = 0;
    for (const auto &info : logEventCatalogue()) {
        const auto number = static_cast<unsigned>(info.id);
        if (number / 1000 != group) {
            group = number / 1000;
            std::cout << "\n## " << group << "xxx: " << groupName(group)
                      << "\n\n| number | name | level | what it means and what to do |\n"
                         "|---|---|---|---|\n";
        }
        std::cout << "| " << number << " | " << info.name << " | " << logLevelName(info.level)
                  << " | " << info.text << " |\n";
    }
    return exitSuccess;
}

} // namespace berylridge::ctl
