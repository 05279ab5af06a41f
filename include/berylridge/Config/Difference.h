// What a change of documents would mean for workspaces and targets, in words for operators.
#pragma once

#include "berylridge/Config/Documents.h"

#include <string>
#include <vector>

namespace berylridge {

struct Difference
{
    std::vector<std::string> changes;  ///< One line each, in the order of the document.
    std::vector<std::string> warnings; ///< Shares or capacity that would be cut.
};

/// Compares a service in force with what would replace it. A workspace's share is its weight over
/// the sum of weights: a warning stands for each one that would lose more than the given part of
/// its share, and one where the service would lose slots.
Difference compareServices(const ServiceDocument &current, const ServiceDocument &next,
                           double maxShareCut = 0.1);

Difference compareFleets(const FleetDocument &current, const FleetDocument &next);

} // namespace berylridge
