// The idempotency component's face: admits each key at most once over the fleet, keeps answers for
// repeats and serves as a witness for other nodes. See docs/design/idempotency.md.
#pragma once

#include "berylridge/Config/Vms.h"
#include "berylridge/Idempotency/KeyLife.h"
#include "berylridge/Idempotency/KeyOutput.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

struct KeyOptions
{
    NodeId node;
    Incarnation incarnation = 0;
    Duration lifetime = std::chrono::hours(1);                ///< A key is refused when older.
    Duration futureTolerance = std::chrono::seconds(1);       ///< Callers' clocks ahead of ours.
    Duration clockSkew = std::chrono::milliseconds(500);      ///< Nodes' clocks against true time.
    Duration decisionWindow = std::chrono::milliseconds(500); ///< For all consents to a roster.
    Duration settleTime = std::chrono::seconds(1);           ///< Unchanged members before a roster.
    Duration claimTimeout = std::chrono::milliseconds(1500); ///< Longest wait for witnesses.
    Duration resendPeriod = std::chrono::milliseconds(100);  ///< For lost datagrams.
    std::size_t rosterLimit = 9;                             ///< Witnesses of a roster.
    std::size_t keyLimit = 100'000;                          ///< Keys held, and votes given.
    std::size_t keptBytes = 8 << 20;                         ///< Kept answers, all together.
    std::size_t keptAnswerLimit = 64 << 10;                  ///< One kept answer.
};

/// What the membership knows of one node.
struct KeyMember
{
    NodeId node;
    Incarnation incarnation = 0; ///< The latest that was heard.
    bool isHeard = false;        ///< Heard lately, and not leaving.
    bool isGone = false;         ///< This incarnation refused a connection.
};

/// One node's part in running each key at most once. A value: tests copy it.
class KeyRegistry
{
public:
    explicit KeyRegistry(KeyOptions options);

    /// Asks for a key. The answer is a decision for the request, at once or later; until then the
    /// request waits. Not to be called for requests without a key.
    void begin(KeyRequest request, const std::string &key, std::uint64_t bodyHash, TimePoint now,
               WallTime wall, KeyOutput &out);

    /// Whether an admitted key may still be dispatched; ask just before the first byte leaves.
    bool mayDispatch(const std::string &key, TimePoint now, WallTime wall) const;
    /// Bytes may leave for a target from now on.
    void dispatched(const std::string &key);
    /// The attempt failed before any byte left: as if it had not been dispatched.
    void notSent(const std::string &key);
    /// The request is given up before any byte left. Says what may be told to the caller: NotRun
    /// only where this node held the key, else MayHaveRun.
    Verdict release(const std::string &key, KeyOutput &out);
    /// The target answered; the answer is kept for repeats while memory and lifetime allow.
    void finished(const std::string &key, unsigned status, std::vector<KeyHeader> headers,
                  std::optional<std::string> body);
    /// The attempt ended without a whole answer: the operation may have run.
    void failed(const std::string &key);

    /// A new key that this process alone admits; for POST /v1/idempotency-keys.
    std::string issueKey(WallTime wall);

    void onMessage(const NodeId &from, Incarnation incarnation, const KeyMessage &message,
                   TimePoint now, WallTime wall, KeyOutput &out);
    /// All nodes that the membership knows, whenever one of them changed.
    void onMembers(std::span<const KeyMember> members, TimePoint now, WallTime wall,
                   KeyOutput &out);
    void onVmList(const VmList &list, TimePoint now, WallTime wall, KeyOutput &out);
    void tick(TimePoint now, WallTime wall, KeyOutput &out);
    /// When to call tick() next; TimePoint::max() when there is nothing to wait for.
    TimePoint nextTimer() const;

private:
    struct Held
    {
        KeyPhase phase = KeyPhase::Claiming;
        std::uint64_t bodyHash = 0;
        unsigned status = 0;
        std::vector<KeyHeader> headers;
        std::optional<std::string> body;
    };

    KeyOptions m_options;
    std::map<std::string, Held> m_held;
    std::uint64_t m_issued = 0;
};

/// The form in which keys go through the component: names of service and workspace before the
/// caller's own text, so that two workspaces never share a key.
std::string scopedKey(const ServiceId &service, const WorkspaceId &workspace,
                      std::string_view callerKey);

} // namespace berylridge
