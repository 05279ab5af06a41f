#include "Report.h"

#include "JsonText.h"

#include <algorithm>
#include <iomanip>
#include <numeric>

namespace berylridge {

namespace {

constexpr std::size_t maxExamples = 10;

Json::Value toJsonNumber(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

void checkPurchaseKey(const std::string &key, const PurchaseOutcome &keyOutcome,
                      std::uint64_t executions, PurchaseCheck &check)
{
    const char *violation = nullptr;
    if (executions > 1) {
        ++check.doubled;
        violation = "executed more than once";
    } else if (keyOutcome.isServed && executions == 0) {
        ++check.servedNotRun;
        violation = "has a receipt but no execution";
    } else if (keyOutcome.isLastAttemptNotRun && executions > 0) {
        ++check.falseNotRun;
        violation = "was reported not to have run, but executed";
    }
    if (violation && check.examples.size() < maxExamples)
        check.examples.push_back(key + ": " + violation);
    check.served += keyOutcome.isServed ? 1 : 0;
    check.doubtful += !keyOutcome.isServed && keyOutcome.hasUnknownOutcome ? 1 : 0;
}

Json::Value workspaceRow(const WorkspaceLoadSpec &spec, const WorkspaceTally &tally, double share,
                         double fairShare)
{
    Json::Value row;
    row["name"] = spec.name;
    row["weight"] = spec.weight;
    row["sent"] = toJsonNumber(tally.sent);
    for (std::size_t i = 0; i < outcomeCount; ++i)
        row["outcomes"][outcomeName(static_cast<Outcome>(i))] = toJsonNumber(tally.outcomes[i]);
    row["serviceShare"] = share;
    row["fairShare"] = fairShare;
    row["firstByteP50Ms"] = tally.firstByte.quantileMs(0.5);
    row["firstByteP99Ms"] = tally.firstByte.quantileMs(0.99);
    row["lookupP50Ms"] = tally.lookup.quantileMs(0.5);
    row["lookupP99Ms"] = tally.lookup.quantileMs(0.99);
    row["purchaseP50Ms"] = tally.purchase.quantileMs(0.5);
    row["purchaseP99Ms"] = tally.purchase.quantileMs(0.99);
    return row;
}

/// Returns each workspace's weighted max-min fair share of the tokens served.
std::vector<double> fairShares(const Profile &profile, const Tally &tally)
{
    std::vector<double> demands;
    std::vector<double> weights;
    demands.reserve(profile.workspaces.size());
    weights.reserve(profile.workspaces.size());
    double served = 0;
    for (std::size_t i = 0; i < profile.workspaces.size(); ++i) {
        demands.push_back(static_cast<double>(tally.workspaces[i].tokensRequested));
        weights.push_back(profile.workspaces[i].weight);
        served += static_cast<double>(tally.workspaces[i].tokensServed);
    }
    auto shares = maxMinFairShares(demands, weights, served);
    for (double &tokenShare : shares)
        tokenShare /= std::max(served, 1.0);
    return shares;
}

Json::Value purchasesToJson(const PurchaseCheck &purchases)
{
    Json::Value value;
    value["keys"] = toJsonNumber(purchases.keys);
    value["served"] = toJsonNumber(purchases.served);
    value["doubtful"] = toJsonNumber(purchases.doubtful);
    value["doubled"] = toJsonNumber(purchases.doubled);
    value["servedNotRun"] = toJsonNumber(purchases.servedNotRun);
    value["falseNotRun"] = toJsonNumber(purchases.falseNotRun);
    for (const auto &example : purchases.examples)
        value["examples"].append(example);
    return value;
}

constexpr int nameWidth = 16;
constexpr int countWidth = 9;
constexpr int latencyWidth = 15;

void printHeader(std::ostream &out)
{
    out << std::left << std::setw(nameWidth) << "workspace" << std::right;
    for (const char *column : {"sent", "served", "not-run", "may-have", "other", "share", "fair"})
        out << std::setw(countWidth) << column;
    for (const char *column : {"stream p50 ms", "stream p99 ms", "lookup p99 ms"})
        out << std::setw(latencyWidth) << column;
    out << '\n';
}

void printRow(std::ostream &out, const Json::Value &row)
{
    const auto &outcomes = row["outcomes"];
    const auto served = outcomes["served"].asUInt64();
    const auto notRun = outcomes["not-run"].asUInt64();
    const auto mayHaveRun = outcomes["may-have-run"].asUInt64();
    std::uint64_t total = 0;
    for (const auto &count : outcomes)
        total += count.asUInt64();
    out << std::left << std::setw(nameWidth) << row["name"].asString() << std::right;
    for (const auto count :
         {row["sent"].asUInt64(), served, notRun, mayHaveRun, total - served - notRun - mayHaveRun})
        out << std::setw(countWidth) << count;
    out << std::fixed << std::setprecision(3);
    for (const char *column : {"serviceShare", "fairShare"})
        out << std::setw(countWidth) << row[column].asDouble();
    out << std::setprecision(1);
    for (const char *column : {"firstByteP50Ms", "firstByteP99Ms", "lookupP99Ms"})
        out << std::setw(latencyWidth) << row[column].asDouble();
    out << '\n';
}

} // namespace

Expected<PurchaseCheck> checkPurchases(const Profile &profile, const Tally &tally)
{
    std::map<std::string, std::uint64_t> executions;
    for (const auto &service : profile.services) {
        CallSpec spec;
        spec.endpoint = service;
        spec.target = "/stats";
        const auto result = fetch(std::move(spec));
        const auto stats = parseJson(result.body);
        if (result.end != CallEnd::Complete || !stats)
            return Reason {"cannot read the counts from the service at " + service.address + ":"
                           + std::to_string(service.port)};
        const auto &byKey = (*stats)["executionsByKey"];
        for (const auto &key : byKey.getMemberNames())
            executions[key] += byKey[key].asUInt64();
    }
    PurchaseCheck check;
    check.keys = tally.purchases.size();
    if (profile.services.empty())
        return check;
    for (const auto &[key, keyOutcome] : tally.purchases)
        checkPurchaseKey(key, keyOutcome, executions[key], check);
    return check;
}

Json::Value makeReport(const Profile &profile, const Tally &tally, const Fairness &fairness,
                       const PurchaseCheck &purchases)
{
    Json::Value report;
    const double totalBusySeconds
        = std::accumulate(fairness.busySeconds.begin(), fairness.busySeconds.end(), 0.0);
    const auto fairShareByWorkspace = fairShares(profile, tally);
    std::uint64_t violations = purchases.violations();
    std::uint64_t served = 0;
    for (std::size_t i = 0; i < profile.workspaces.size(); ++i) {
        const auto &spec = profile.workspaces[i];
        const auto &workspaceTally = tally.workspaces[i];
        const double share = totalBusySeconds > 0 ? fairness.busySeconds[i] / totalBusySeconds : 0;
        report["workspaces"].append(
            workspaceRow(spec, workspaceTally, share, fairShareByWorkspace[i]));
        violations += workspaceTally.count(Outcome::WrongBody)
            + workspaceTally.count(Outcome::MissingVerdict);
        served += workspaceTally.count(Outcome::Served);
    }
    report["purchases"] = purchasesToJson(purchases);
    report["served"] = toJsonNumber(served);
    report["servedPerSecond"] = static_cast<double>(served) / profile.seconds;
    report["fairnessGapSlotSeconds"] = fairness.gap;
    report["utilisationWhileWorkWaits"] = fairness.utilisation;
    report["samplesWithWorkWaiting"] = toJsonNumber(fairness.backloggedSamples);
    for (const auto &faultyResponse : tally.faultyResponses)
        report["wrongAnswers"].append(faultyResponse);
    report["violations"] = toJsonNumber(violations);
    return report;
}

void printReport(std::ostream &out, const Json::Value &report)
{
    printHeader(out);
    for (const auto &row : report["workspaces"])
        printRow(out, row);
    const auto &purchases = report["purchases"];
    out << "purchases: " << purchases["keys"].asUInt64() << " keys, "
        << purchases["served"].asUInt64() << " served, " << purchases["doubtful"].asUInt64()
        << " with unknown outcome, " << purchases["doubled"].asUInt64()
        << " doubled (executed more than once), " << purchases["servedNotRun"].asUInt64()
        << " receipts without an execution, " << purchases["falseNotRun"].asUInt64()
        << " false not-run\n"
        << std::setprecision(3) << "fairness gap: " << report["fairnessGapSlotSeconds"].asDouble()
        << " slot seconds; utilisation while work waits: "
        << report["utilisationWhileWorkWaits"].asDouble() << " over "
        << report["samplesWithWorkWaiting"].asUInt64() << " samples\n";
    for (const auto &faultyResponse : report["wrongAnswers"])
        out << "  " << faultyResponse.asString() << '\n';
    for (const auto &example : purchases["examples"])
        out << "  " << example.asString() << '\n';
    out << "violations: " << report["violations"].asUInt64() << '\n';
}

} // namespace berylridge
