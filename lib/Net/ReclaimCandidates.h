// Collects the sessions from which memory or connections can be reclaimed.
#pragma once

#include <optional>
#include <unordered_set>
#include <vector>

namespace berylridge {

/// Sessions and what each reports of itself, by the same index.
template <typename Session, typename State>
struct ReclaimCandidates
{
    std::vector<Session *> sessions;
    std::vector<State> states;

    /// Leaves out sessions that report nothing.
    ReclaimCandidates(const std::unordered_set<Session *> &all,
                      std::optional<State> (Session::*report)() const)
    {
        for (Session *session : all) {
            if (const std::optional<State> state = (session->*report)()) {
                sessions.push_back(session);
                states.push_back(*state);
            }
        }
    }
};

} // namespace berylridge
