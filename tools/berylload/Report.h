// What a load run found, with its violations, as a table and as JSON.
#pragma once

#include "EngineSampler.h"
#include "Profile.h"
#include "Tally.h"

#include <json/json.h>
#include <ostream>
#include <string>
#include <vector>

namespace berylridge {

/// Compares what callers were told of purchases with what the plain services executed.
struct PurchaseCheck
{
    std::uint64_t keys = 0;
    std::uint64_t served = 0;
    std::uint64_t doubtful = 0;     ///< Neither a receipt nor a word that it has not run.
    std::uint64_t doubled = 0;      ///< Executed more than once.
    std::uint64_t servedNotRun = 0; ///< A receipt, and not executed.
    std::uint64_t falseNotRun = 0;  ///< Said not to have run at last, and executed.
    std::vector<std::string> examples;

    std::uint64_t violations() const { return doubled + servedNotRun + falseNotRun; }
};

/// Reads the plain services' counts. Fails where one of them doesn't answer.
Expected<PurchaseCheck> checkPurchases(const Profile &profile, const Tally &tally);

/// The whole report; "violations" counts what must never happen.
Json::Value makeReport(const Profile &profile, const Tally &tally, const Fairness &fairness,
                       const PurchaseCheck &purchases);

void printReport(std::ostream &out, const Json::Value &report);

} // namespace berylridge
