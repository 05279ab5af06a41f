// Describes for operators how a change of documents would affect workspaces and targets.
#pragma once

#include "berylridge/Config/Documents.h"

#include <string>
#include <vector>

namespace berylridge {

struct Difference
{
    std::vector<std::string> changes;  ///< One line for each change, in the document's order.
    std::vector<std::string> warnings; ///< Shares or capacity that would be reduced.
};

/// Compares the active document of a service with the one that would replace it. A workspace's
/// share is its weight divided by the sum of all weights. The result has a warning for each
/// workspace that would lose more than the fraction maxShareCut of its share, and one if the
/// service would lose slots.
Difference compareServices(const ServiceDocument &current, const ServiceDocument &next,
                           double maxShareCut = 0.1);

Difference compareFleets(const FleetDocument &current, const FleetDocument &next);

} // namespace berylridge
