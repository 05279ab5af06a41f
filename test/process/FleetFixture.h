// What the process tests of the fleet share: load in the background and its verdict.
#pragma once

#include "TestFleet.h"

#include <gtest/gtest.h>
#include <memory>

namespace berylridge::test {

class FleetProcess : public testing::Test
{
protected:
    /// Starts a fleet; ends the test where it doesn't get ready.
    void startFleet(const FleetOptions &options);
    /// Starts a load of some seconds over all routers.
    void startLoad(double seconds);
    /// Waits for the load's end; checks that no promise was broken, and returns the report.
    Json::Value waitForLoadReport();
    /// Checks that no engine got more than it bears while cold, whichever are down now.
    void expectNoOverload();

    /// Sum of an outcome over all workspaces of a report.
    static std::uint64_t totalOutcome(const Json::Value &report, const std::string &outcome);
    /// Requests started at the engines of a zone.
    std::uint64_t requestsStartedInZone(const std::string &zone) const;
    /// Waits until the engines of a zone start more requests.
    bool waitForNewRequestsInZone(const std::string &zone) const;

    std::unique_ptr<TestFleet> m_fleet;
    std::unique_ptr<ChildProcess> m_load;
};

} // namespace berylridge::test
