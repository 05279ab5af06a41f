// Simulated callers: an open-loop load generator per workspace. Each workspace spreads its requests
// unevenly over the nodes and retries through another node where a retry is allowed.
#pragma once

#include "FakeNode.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylridge::rig {

class Rig;

struct CallerOptions
{
    /// Rate of engine requests over all workspaces, as a multiple of what the engines can serve.
    double engineLoad = 1.2;
    double meanCost = 2.0; ///< Slot seconds per engine request; log-normal distribution.
    double costSigma = 0.8;
    double lookupsPerSecond = 20;
    double purchasesPerSecond = 8;
    double keylessRatio = 0.1; ///< Share of purchases without an idempotency key.
    /// Share of keyed purchases that are sent through two nodes at once.
    double duplicateRatio = 0.0;
    /// Load of each workspace relative to the others. All workspaces are equal if it is empty.
    std::vector<double> demandWeights;
    std::uint32_t maxAttempts = 4;
    Duration callerTimeout = std::chrono::seconds(25); ///< Afterwards the caller disconnects.
};

class Callers
{
public:
    Callers(Rig &rig, CallerOptions options);

    /// Starts to send requests of all workspaces.
    void start();
    void stop() { m_isRunning = false; }
    /// Sends a request that crashes each target that executes it, that many times, two seconds
    /// apart.
    void sendQueryOfDeath(std::size_t workspace, std::size_t times);
    /// Multiplies the load of one workspace by the factor; 1 restores it.
    void setLoadFactor(std::size_t workspace, double factor) { m_loadFactors[workspace] = factor; }
    /// Sends one request now.
    CallerRequest &send(CallerRequest request, std::size_t node);
    CallerRequest makePurchase(std::size_t workspace, bool hasKey);
    CallerRequest makeGeneration(std::size_t workspace);

private:
    enum class RequestKind : std::uint8_t { Generation, Lookup, Purchase };

    double arrivalRate(RequestKind kind, std::size_t workspace) const;
    void scheduleNextArrival(RequestKind kind, std::size_t workspace);
    CallerRequest makeLookup(std::size_t workspace);
    std::size_t chooseNode(std::size_t workspace, std::size_t excludedNode);
    void submit(CallerRequest &request, std::size_t node);
    void pollAttempt(CallerRequest &request, CallerAttempt &callerAttempt);
    bool isRetryAllowed(const CallerRequest &request, const CallerAttempt &callerAttempt) const;
    std::string makeIdempotencyKey();

    Rig &m_rig;
    CallerOptions m_options;
    bool m_isRunning = false;
    std::vector<double> m_loadFactors;
    std::vector<std::vector<double>> m_nodeWeights; ///< The weight of each node, per workspace.
    std::uint64_t m_nextBodyHash = 1;
};

} // namespace berylridge::rig
