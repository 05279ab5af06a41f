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
    double keyless = 0.1;   ///< Share of purchases that carry no idempotency key.
    double asksTwice = 0.0; ///< Share of purchases that are sent through two nodes at once.
    /// Load of each workspace relative to the others; all equal where empty.
    std::vector<double> demand;
    std::uint32_t mostTries = 4;
    Duration patience = std::chrono::seconds(25); ///< Then the caller closes its connection.
};

class Callers
{
public:
    Callers(Rig &rig, CallerOptions options);

    void start();
    void stop() { m_isOn = false; }
    /// A request that crashes each target that runs it; its caller sends it again and again.
    void sendDeadly(std::size_t workspace, std::size_t times);
    /// Multiplies one workspace's load.
    void flood(std::size_t workspace, double factor) { m_factor[workspace] = factor; }
    /// One request now; for tests that tell a story step by step.
    CallerRequest &send(CallerRequest request, std::size_t node);
    CallerRequest purchase(std::size_t workspace, bool hasKey);
    CallerRequest generation(std::size_t workspace);

private:
    enum class Kind : std::uint8_t { Generation, Lookup, Purchase };

    double rate(Kind kind, std::size_t workspace) const;
    void arrive(Kind kind, std::size_t workspace);
    CallerRequest lookup(std::size_t workspace);
    std::size_t chooseNode(std::size_t workspace, std::size_t avoided);
    void attempt(CallerRequest &request, std::size_t node);
    void look(CallerRequest &request, CallerTry &callerTry);
    bool maySendAgain(const CallerRequest &request, const CallerTry &callerTry) const;
    std::string newKey();

    Rig &m_rig;
    CallerOptions m_options;
    bool m_isOn = false;
    std::vector<double> m_factor;
    std::vector<std::vector<double>> m_spread; ///< Per workspace, weight of each node.
    std::uint64_t m_nextBody = 1;
};

} // namespace berylridge::rig
