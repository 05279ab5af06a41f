// berylload: drives routers with an open-loop load and checks every answer.
#include "Generator.h"
#include "JsonText.h"
#include "Profile.h"
#include "Report.h"
#include "Sampler.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace berylridge;

namespace {

constexpr int violationStatus = 1;
constexpr int usageStatus = 2;

struct Options
{
    std::string profile;
    std::string json;
    bool isDirect = false;
};

/// The options, or the exit status where there is nothing to run.
std::optional<int> parseOptions(int argc, char **argv, Options &options)
{
    try {
        TCLAP::CmdLine line("drives routers with an open-loop load, checks every answer and "
                            "compares purchases with what the services executed; exits with 1 on "
                            "a broken promise, with 2 on a wrong profile",
                            ' ', BERYLRIDGE_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> profile("", "profile", "what to send: JSON with comments",
                                             true, "", "file", line);
        TCLAP::ValueArg<std::string> json("", "json", "write the report as JSON too", false, "",
                                          "file", line);
        TCLAP::SwitchArg direct("", "direct", "straight to the engines and services", line);
        line.parse(argc, argv);
        options = {profile.getValue(), json.getValue(), direct.getValue()};
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return usageStatus;
    }
    return std::nullopt;
}

/// What the profile lacks for its kind of run; null where nothing is missing.
const char *unreachable(const Profile &profile)
{
    if (profile.isDirect && (profile.engines.empty() || profile.services.empty()))
        return "a direct run needs engines and services";
    if (!profile.isDirect && profile.routers.empty())
        return "routers must name at least one";
    return nullptr;
}

std::vector<double> weightsOf(const Profile &profile)
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
    Sampler sampler(io, profile, generator.tally());
    generator.start();
    sampler.start([&] { return generator.isDone(); });
    io.run();

    const auto purchases = judgePurchases(profile, generator.tally());
    if (!purchases) {
        std::cerr << purchases.lastReason() << '\n';
        return violationStatus;
    }
    const auto fairness = measureFairness(sampler.samples(), weightsOf(profile));
    const auto report = makeReport(profile, generator.tally(), fairness, *purchases);
    printReport(std::cout, report);
    if (!jsonFile.empty())
        std::ofstream(jsonFile) << toText(report) << '\n';
    return report["violations"].asUInt64() == 0 ? 0 : violationStatus;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    if (const auto status = parseOptions(argc, argv, options))
        return *status;
    const auto read = readProfile(options.profile);
    if (!read) {
        std::cerr << read.lastReason() << '\n';
        return usageStatus;
    }
    Profile profile = *read;
    profile.isDirect = profile.isDirect || options.isDirect;
    if (const auto fault = unreachable(profile)) {
        std::cerr << options.profile << ": " << fault << '\n';
        return usageStatus;
    }
    return run(profile, options.json);
}
