// Reports the results of a load run and its violations as a table and as JSON.
#pragma once

#include "EngineSampler.h"
#include "Profile.h"
#include "Tally.h"

#include <json/json.h>
#include <ostream>
#include <string>
#include <vector>

namespace berylridge {

/// Compares the responses to purchases with the executions that the plain services counted.
struct PurchaseCheck
{
    std::uint64_t keys = 0;
    std::uint64_t served = 0;
    std::uint64_t doubtful = 0;     ///< No receipt, and some attempt may have run.
    std::uint64_t doubled = 0;      ///< Executed more than once.
    std::uint64_t servedNotRun = 0; ///< A receipt, but no execution.
    std::uint64_t falseNotRun = 0;  ///< The last response said not-run, but it was executed.
    std::vector<std::string> examples;

    std::uint64_t violations() const { return doubled + servedNotRun + falseNotRun; }
};

/// Reads the plain services' counts. Fails if one of them doesn't respond.
Expected<PurchaseCheck> checkPurchases(const Profile &profile, const Tally &tally);

/// Builds the report. "violations" counts the events that the routers must never cause.
Json::Value makeReport(const Profile &profile, const Tally &tally, const Fairness &fairness,
                       const PurchaseCheck &purchases);

void printReport(std::ostream &out, const Json::Value &report);

} // namespace berylridge
