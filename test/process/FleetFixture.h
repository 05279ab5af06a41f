// Test fixture for process tests of the fleet: runs load in the background and checks its report.
#pragma once

#include "TestFleet.h"

#include <gtest/gtest.h>
#include <memory>

namespace berylridge::test {

class FleetProcess : public testing::Test
{
protected:
    /// Starts a fleet; fails the test if the fleet does not become ready.
    void startFleet(const FleetOptions &options);
    /// Starts load over all routers for this many seconds.
    void startLoad(double seconds);
    /// Waits for the load generator to exit, checks that it found no violation, and returns its
    /// report.
    Json::Value waitForLoadReport();
    /// Checks that no engine crashed from overload while cold, including engines that are down now.
    void expectNoOverload();

    /// Returns the sum of an outcome over all workspaces of a report.
    static std::uint64_t totalOutcome(const Json::Value &report, const std::string &outcome);
    /// Returns how many requests the engines of a zone have started.
    std::uint64_t requestsStartedInZone(const std::string &zone) const;
    /// Waits until the engines of a zone start more requests. Returns false on timeout.
    bool waitForNewRequestsInZone(const std::string &zone) const;

    std::unique_ptr<TestFleet> m_fleet;
    std::unique_ptr<ChildProcess> m_load;
};

} // namespace berylridge::test
