// berylload: sends an open-loop load to routers and checks every response.
#include "EngineSampler.h"
#include "Generator.h"
#include "JsonText.h"
#include "Profile.h"
#include "Report.h"

#include "berylridge/CommandLine/CommandLine.h"

#include <fstream>
#include <iostream>

using namespace berylridge;

namespace {

ManPage manPage()
{
    return {
        "berylload",
        "send an open-loop load to routers",
        "Sends what the profile specifies, checks every response, compares purchases with what the "
        "services\n"
        "executed, and prints a report per workspace. Exit status 1 means that a guarantee was "
        "violated,\n"
        "2 a wrong command line or profile.",
        {{"EXAMPLES", "berylload --profile load.json --json report.json"}}};
}

/// Returns an error if the profile lacks the endpoints that its run needs, otherwise null.
const char *missingEndpoints(const Profile &profile)
{
    if (profile.isDirect && (profile.engines.empty() || profile.services.empty()))
        return "a direct run needs engines and services";
    if (!profile.isDirect && profile.routers.empty())
        return "routers must name at least one router";
    return nullptr;
}

std::vector<double> workspaceWeights(const Profile &profile)
{
    std::vector<double> weights;
    for (const auto &spec : profile.workspaces)
        weights.push_back(spec.weight);
    return weights;
}

int run(const Profile &profile, const std::string &jsonFile)
{
    boost::asio::io_context io;
    Generator generator(io, profile);
    EngineSampler sampler(io, profile, generator.tally());
    generator.start();
    sampler.start([&] { return generator.isDone(); });
    io.run();

    const auto purchases = checkPurchases(profile, generator.tally());
    if (!purchases) {
        std::cerr << purchases.failureReason() << '\n';
        return exitErrorsFound;
    }
    const auto fairness = measureFairness(sampler.samples(), workspaceWeights(profile));
    const auto report = makeReport(profile, generator.tally(), fairness, *purchases);
    printReport(std::cout, report);
    if (!jsonFile.empty())
        std::ofstream(jsonFile) << toText(report) << '\n';
    return report["violations"].asUInt64() == 0 ? exitSuccess : exitErrorsFound;
}

} // namespace

int main(int argc, char **argv)
{
    CommandLine line(manPage());
    TCLAP::ValueArg<std::string> profileFile("", "profile",
                                             "load profile (what to send): JSON with comments",
                                             true, "", "FILE", line.arguments());
    TCLAP::ValueArg<std::string> json("", "json", "also write the report as JSON", false, "",
                                      "FILE", line.arguments());
    TCLAP::SwitchArg direct("", "direct", "send directly to the engines and services",
                            line.arguments());
    if (const auto status = line.parse(argc, argv))
        return *status;
    const auto read = readProfile(profileFile.getValue());
    if (!read) {
        std::cerr << read.failureReason() << '\n';
        return exitUsageError;
    }
    Profile profile = *read;
    profile.isDirect = profile.isDirect || direct.getValue();
    if (const auto error = missingEndpoints(profile)) {
        std::cerr << profileFile.getValue() << ": " << error << '\n';
        return exitUsageError;
    }
    return run(profile, json.getValue());
}
