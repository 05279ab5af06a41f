// Logs one line per second with each workspace's demand and what it was granted, while requests are
// being refused.
//
// A workspace that is refused a thousand times a second uses up the line budget of the request log.
// This line still shows an operator what the other workspaces demanded and received.
#pragma once

#include "BalancedRequest.h"
#include "BalancerContext.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace berylridge {

class WorkspaceTally
{
public:
    explicit WorkspaceTally(BalancerContext &context)
        : m_context(context)
    {
    }

    void requested(const BalancedRequest &request, double tokens);
    void admitted(const BalancedRequest &request, double tokens);
    void refused(const BalancedRequest &request, const char *type);
    /// Counts a request that was refused for exceeding its workspace's share although the targets
    /// had capacity for a request within its share.
    void heldBack(const BalancedRequest &request);
    /// Counts requests that the node's traffic threads rejected before they reached the core.
    void turnedAway(std::span<const ShedCount> counts);
    /// Counts a response that has started.
    void begun(const BalancedRequest &request, double tokens, bool isLate);
    /// Counts an admitted request that ended before a response started.
    void endedUnbegun(const BalancedRequest &request, double tokens);
    void attemptFailed(const BalancedRequest &request, const char *failure);

    /// Logs and resets the totals, at most once per second.
    void tick(const WorkspaceShares::FleetView &fleet);

private:
    struct Entry
    {
        std::uint64_t requests = 0;
        double askedTokens = 0;
        double admittedTokens = 0;
        double notRunTokens = 0;  ///< Of admitted requests that ended and have not run.
        double unknownTokens = 0; ///< Of those that ended without a response and may have run.
        double begunTokens = 0;
        std::uint64_t begun = 0;
        std::uint64_t late = 0;       ///< Part of `begun` that started late.
        std::uint64_t turnedAway = 0; ///< Requests rejected before they reached the core.
        std::uint64_t heldBack = 0;   ///< Part of the refusals.
        std::map<std::string, std::uint64_t> refusals {}; ///< Keyed by refusal type.
        /// Failed attempts, keyed by kind of failure.
        std::map<std::string, std::uint64_t> failures {};
    };

    BalancerContext &m_context;
    std::map<std::string, Entry> m_entries; ///< Keyed by workspace.
    bool m_hasRefusals = false;
    TimePoint m_lastLoggedAt {};
};

} // namespace berylridge
