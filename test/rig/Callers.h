// The callers of a test run: an open loop per workspace, spread unevenly over the nodes, that sends
// again through another node where that is allowed.
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
    /// Requests per second over all workspaces, as a multiple of what the engines can serve.
    double engineLoad = 1.2;
    double meanCost = 2.0; ///< Slot seconds of an engine request; log-normal.
    double costSigma = 0.8;
    double lookupsPerSecond = 20;
    double purchasesPerSecond = 8;
    double keylessRatio = 0.1;   ///< Share of purchases that carry no idempotency key.
    double duplicateRatio = 0.0; ///< Share of purchases that are sent through two nodes at once.
    /// Load of each workspace relative to the others; all equal where empty.
    std::vector<double> demandWeights;
    std::uint32_t maxAttempts = 4;
    Duration callerTimeout = std::chrono::seconds(25); ///< Then the caller closes its connection.
};

class Callers
{
public:
    Callers(Rig &rig, CallerOptions options);

    void start();
    void stop() { m_isRunning = false; }
    /// A request that crashes each target that runs it; its caller sends it again and again.
    void sendQueryOfDeath(std::size_t workspace, std::size_t times);
    /// Multiplies one workspace's load.
    void setLoadFactor(std::size_t workspace, double factor) { m_loadFactors[workspace] = factor; }
    /// One request now; for tests that tell a story step by step.
    CallerRequest &send(CallerRequest request, std::size_t node);
    CallerRequest makePurchase(std::size_t workspace, bool hasKey);
    CallerRequest makeGeneration(std::size_t workspace);

private:
    enum class RequestKind : std::uint8_t { Generation, Lookup, Purchase };

    double arrivalRate(RequestKind kind, std::size_t workspace) const;
    void arrive(RequestKind kind, std::size_t workspace);
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
    std::vector<std::vector<double>> m_nodeWeights; ///< Per workspace, weight of each node.
    std::uint64_t m_nextBodyHash = 1;
};

} // namespace berylridge::rig
