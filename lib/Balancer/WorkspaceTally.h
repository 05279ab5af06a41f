// One line a second of what workspaces asked for and got while some of it is refused.
//
// Load it answers: one workspace is refused a thousand times a second, and its lines in the log
// leave no room for those of the others, of whom an operator asks who got what.
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

    void asked(const BalancedRequest &request, double tokens);
    void admitted(const BalancedRequest &request, double tokens);
    void refused(const BalancedRequest &request, const char *type);
    /// Refused for being beyond its share, though the targets had room for one within it.
    void heldBack(const BalancedRequest &request);
    /// The node's traffic threads turned requests away before the core was asked.
    void turnedAway(std::span<const ShedCount> counts);
    /// The answer began.
    void begun(const BalancedRequest &request, bool isLate);
    void attemptFailed(const BalancedRequest &request, const char *failure);

    /// Logs and begins anew, once a second at most.
    void tick(const WorkspaceShares::FleetView &fleet);

private:
    struct Entry
    {
        std::uint64_t requests = 0;
        double askedTokens = 0;
        double admittedTokens = 0;
        std::uint64_t begun = 0;
        std::uint64_t late = 0;                           ///< Of those begun.
        std::uint64_t turnedAway = 0;                     ///< Before the core.
        std::uint64_t heldBack = 0;                       ///< Of the refusals.
        std::map<std::string, std::uint64_t> refusals {}; ///< By type.
        std::map<std::string, std::uint64_t> failures {}; ///< Of attempts, by kind.
    };

    BalancerContext &m_context;
    std::map<std::string, Entry> m_entries; ///< By workspace.
    bool m_hasRefusals = false;
    TimePoint m_lastLoggedAt {};
};

} // namespace berylridge
