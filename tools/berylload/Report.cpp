#include "Report.h"

#include "JsonText.h"

#include <algorithm>
#include <iomanip>
#include <numeric>

namespace berylridge {

namespace {

constexpr std::size_t mostExamples = 10;

Json::Value number(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

void judgeKey(const std::string &key, const PurchaseFate &fate, std::uint64_t executions,
              PurchaseJudgement &judgement)
{
    const char *fault = nullptr;
    if (executions > 1) {
        ++judgement.doubled;
        fault = "executed more than once";
    } else if (fate.isServed && executions == 0) {
        ++judgement.servedNotRun;
        fault = "a receipt without an execution";
    } else if (fate.isLastNotRun && executions > 0) {
        ++judgement.falseNotRun;
        fault = "said not to have run, and executed";
    }
    if (fault && judgement.examples.size() < mostExamples)
        judgement.examples.push_back(key + ": " + fault);
    judgement.served += fate.isServed ? 1 : 0;
    judgement.doubtful += !fate.isServed && fate.isDoubtful ? 1 : 0;
}

Json::Value workspaceRow(const WorkspaceLoadSpec &spec, const WorkspaceTally &tally, double share,
                         double fairShare)
{
    Json::Value row;
    row["name"] = spec.name;
    row["weight"] = spec.weight;
    row["sent"] = number(tally.sent);
    for (std::size_t i = 0; i < outcomeCount; ++i)
        row["outcomes"][outcomeName(static_cast<Outcome>(i))] = number(tally.outcomes[i]);
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

/// Each workspace's part of the tokens served, had they been shared fairly.
std::vector<double> fairShares(const Profile &profile, const Tally &tally)
{
    std::vector<double> demands;
    std::vector<double> weights;
    demands.reserve(profile.workspaces.size());
    weights.reserve(profile.workspaces.size());
    double served = 0;
    for (std::size_t i = 0; i < profile.workspaces.size(); ++i) {
        demands.push_back(static_cast<double>(tally.workspaces[i].tokensAsked));
        weights.push_back(profile.workspaces[i].weight);
        served += static_cast<double>(tally.workspaces[i].tokensServed);
    }
    auto parts = fairParts(demands, weights, served);
    for (double &part : parts)
        part /= std::max(served, 1.0);
    return parts;
}

Json::Value purchasesToJson(const PurchaseJudgement &purchases)
{
    Json::Value value;
    value["keys"] = number(purchases.keys);
    value["served"] = number(purchases.served);
    value["doubtful"] = number(purchases.doubtful);
    value["doubled"] = number(purchases.doubled);
    value["servedNotRun"] = number(purchases.servedNotRun);
    value["falseNotRun"] = number(purchases.falseNotRun);
    for (const auto &example : purchases.examples)
        value["examples"].append(example);
    return value;
}

constexpr int nameWidth = 16;
constexpr int countWidth = 9;
constexpr int latencyWidth = 15;

void printHead(std::ostream &out)
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
    std::uint64_t all = 0;
    for (const auto &count : outcomes)
        all += count.asUInt64();
    out << std::left << std::setw(nameWidth) << row["name"].asString() << std::right;
    for (const auto count :
         {row["sent"].asUInt64(), served, notRun, mayHaveRun, all - served - notRun - mayHaveRun})
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

Expected<PurchaseJudgement> judgePurchases(const Profile &profile, const Tally &tally)
{
    std::map<std::string, std::uint64_t> executions;
    for (const auto &service : profile.services) {
        CallSpec spec;
        spec.endpoint = service;
        spec.target = "/stats";
        const auto result = fetch(std::move(spec));
        const auto stats = parseJson(result.body);
        if (result.end != CallEnd::Whole || !stats)
            return Reason {"no counts from the service at " + service.address + ":"
                           + std::to_string(service.port)};
        const auto &byKey = (*stats)["executionsByKey"];
        for (const auto &key : byKey.getMemberNames())
            executions[key] += byKey[key].asUInt64();
    }
    PurchaseJudgement judgement;
    judgement.keys = tally.purchases.size();
    if (profile.services.empty())
        return judgement;
    for (const auto &[key, fate] : tally.purchases)
        judgeKey(key, fate, executions[key], judgement);
    return judgement;
}

Json::Value makeReport(const Profile &profile, const Tally &tally, const Fairness &fairness,
                       const PurchaseJudgement &purchases)
{
    Json::Value report;
    const double busy
        = std::accumulate(fairness.busySeconds.begin(), fairness.busySeconds.end(), 0.0);
    const auto fair = fairShares(profile, tally);
    std::uint64_t violations = purchases.violations();
    std::uint64_t served = 0;
    for (std::size_t i = 0; i < profile.workspaces.size(); ++i) {
        const auto &spec = profile.workspaces[i];
        const auto &own = tally.workspaces[i];
        const double share = busy > 0 ? fairness.busySeconds[i] / busy : 0;
        report["workspaces"].append(workspaceRow(spec, own, share, fair[i]));
        violations += own.count(Outcome::Wrong) + own.count(Outcome::BadRefusal);
        served += own.count(Outcome::Served);
    }
    report["purchases"] = purchasesToJson(purchases);
    report["served"] = number(served);
    report["servedPerSecond"] = static_cast<double>(served) / profile.seconds;
    report["fairnessGapSlotSeconds"] = fairness.gap;
    report["utilisationWhileWorkWaits"] = fairness.utilisation;
    report["samplesWithWorkWaiting"] = number(fairness.backloggedSamples);
    for (const auto &wrong : tally.wrongs)
        report["wrongAnswers"].append(wrong);
    report["violations"] = number(violations);
    return report;
}

void printReport(std::ostream &out, const Json::Value &report)
{
    printHead(out);
    for (const auto &row : report["workspaces"])
        printRow(out, row);
    const auto &purchases = report["purchases"];
    out << "purchases: " << purchases["keys"].asUInt64() << " keys, "
        << purchases["served"].asUInt64() << " served, " << purchases["doubtful"].asUInt64()
        << " in doubt, " << purchases["doubled"].asUInt64() << " doubled, "
        << purchases["servedNotRun"].asUInt64() << " receipts without an execution, "
        << purchases["falseNotRun"].asUInt64() << " false not-run\n"
        << std::setprecision(3) << "fairness gap: " << report["fairnessGapSlotSeconds"].asDouble()
        << " slot seconds; utilisation while work waits: "
        << report["utilisationWhileWorkWaits"].asDouble() << " over "
        << report["samplesWithWorkWaiting"].asUInt64() << " samples\n";
    for (const auto &wrong : report["wrongAnswers"])
        out << "  " << wrong.asString() << '\n';
    for (const auto &example : purchases["examples"])
        out << "  " << example.asString() << '\n';
    out << "violations: " << report["violations"].asUInt64() << '\n';
}

} // namespace berylridge
