// The idempotency component's face: admits each key at most once over the fleet, keeps answers for
// repeats and serves as a witness for other nodes. See docs/design/idempotency.md.
#pragma once

#include "berylridge/Config/Vms.h"
#include "berylridge/Idempotency/KeyOutput.h"
#include "berylridge/Idempotency/KeyPhase.h"
#include "berylridge/Idempotency/RosterCoordinator.h"
#include "berylridge/Idempotency/Witness.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylridge {

struct KeyOptions
{
    NodeId node;
    Incarnation incarnation = 0;
    Duration lifetime = std::chrono::hours(1);                ///< A key is refused when older.
    Duration futureTolerance = std::chrono::seconds(1);       ///< Callers' clocks ahead of ours.
    Duration maxClockSkew = std::chrono::milliseconds(500);   ///< Nodes' clocks against true time.
    Duration consentTimeout = std::chrono::milliseconds(500); ///< For all consents to a roster.
    Duration membershipStablePeriod
        = std::chrono::seconds(1); ///< Unchanged members before a roster.
    Duration livenessTimeout = std::chrono::milliseconds(2500); ///< Until a run is not heard.
    Duration claimTimeout = std::chrono::milliseconds(1500);    ///< Longest wait for witnesses.
    Duration resendPeriod = std::chrono::milliseconds(100);     ///< For lost datagrams.
    Duration gossipPeriod = std::chrono::seconds(1);   ///< Between signs of life to witnesses.
    std::size_t maxRosterMembers = 9;                  ///< Witnesses of a roster.
    std::size_t maxKeys = 100'000;                     ///< Keys held, and votes given.
    std::size_t maxStoredResponseBytes = 8 << 20;      ///< Kept answers, all together.
    std::size_t maxStoredResponseBodyBytes = 64 << 10; ///< One kept answer.
};

/// One node's part in running each key at most once. A value: tests copy it.
class KeyRegistry
{
public:
    explicit KeyRegistry(KeyOptions options);

    /// Asks for a key. The answer is a decision for the request, at once or later; until then the
    /// request waits. Not to be called for requests without a key.
    void begin(KeyRequestId request, const std::string &key, std::uint64_t bodyHash, TimePoint now,
               WallTime wall, KeyOutput &out);

    /// Whether an admitted key may still be dispatched; ask just before the first byte leaves.
    bool mayDispatch(const std::string &key, TimePoint now, WallTime wall) const;
    /// Bytes may leave for a target from now on.
    void dispatched(const std::string &key);
    /// The attempt failed before any byte left: as if it had not been dispatched.
    void revertDispatch(const std::string &key);
    /// The request is given up before any byte left. Says what may be told to the caller: NotRun
    /// only where this node held the key, else MayHaveRun.
    Verdict release(const std::string &key, KeyOutput &out);
    /// The target answered; the answer is kept for repeats while memory and lifetime allow.
    void finished(const std::string &key, unsigned status, std::vector<KeyHeader> headers,
                  std::optional<std::string> body);
    /// The attempt terminated without a whole answer: the operation may have run.
    void failed(const std::string &key);

    /// A new key that this process alone admits; for POST /v1/idempotency-keys.
    std::string issueKey(TimePoint now, WallTime wall);

    void onMessage(const NodeId &from, Incarnation incarnation, const KeyMessage &message,
                   TimePoint now, WallTime wall, KeyOutput &out);
    /// All nodes that the membership knows, whenever one of them changed.
    void onMembers(std::span<const KeyMember> members, TimePoint now, WallTime wall,
                   KeyOutput &out);
    void onVmList(const VmList &list, TimePoint now, WallTime wall, KeyOutput &out);
    void tick(TimePoint now, WallTime wall, KeyOutput &out);
    /// When to call tick() next; TimePoint::max() when there is nothing to wait for.
    TimePoint nextTimer() const;

    KeyPhase phase(const std::string &key) const;
    /// How many claims this run has made; each has the next number.
    std::uint64_t claimCount() const { return m_claimCount; }
    /// Whether a key that a caller makes now would find witnesses. Not before the first roster has
    /// begun, nor for a moment after: the caller's clock may be behind.
    bool acceptsNewKeys(WallTime wall) const;

    /// The rosters that this node knows, for operators.
    const RosterChain &rosters() const { return m_rosterCoordinator.chain(); }
    /// One line with all that decides what this node does next; for operators and searches.
    std::string describe() const;

private:
    /// What this node asked of a key's witnesses, while it waits for them.
    struct Claim
    {
        std::uint64_t number = 0;
        RosterId roster = 0;
        std::vector<NodeRun> witnesses;
        std::size_t quorum = 0;
        std::set<NodeRun> yes;
        std::set<NodeRun> no;
        std::optional<NodeRun> holder; ///< A witness says that this run holds the key.
        TimePoint deadline;
        TimePoint resendAt;
    };

    struct Held
    {
        KeyPhase phase = KeyPhase::Claiming;
        KeyRequestId request = 0;
        std::uint64_t bodyHash = 0;
        WallTime receivedAt;
        WallTime retainUntil;
        unsigned status = 0;
        std::vector<KeyHeader> headers;
        std::optional<std::string> body;
        std::optional<Claim> claim;
    };

    using HeldKeys = std::unordered_map<std::string, Held>;

    /// A refusal before it is bound to a request.
    struct Refusal
    {
        unsigned status = 503;
        const char *type = "";
        const char *title = "";
        std::optional<Duration> retryAfter;
        Verdict verdict = Verdict::MayHaveRun;
    };

    NodeRun self() const { return {m_options.node, m_options.incarnation}; }
    void advanceClocks(TimePoint now, WallTime wall);
    std::optional<Refusal> refusalForAge(const ParsedKey &text) const;
    void handleRepeat(KeyRequestId request, const std::string &key, std::uint64_t bodyHash,
                      const Held &held, KeyOutput &out) const;
    WallTime retentionEnd(const ParsedKey &text) const;
    static void refuse(KeyRequestId request, const std::string &key, const Refusal &refusal,
                       KeyOutput &out);
    void storeResponse(const std::string &key, Held &held, std::optional<std::string> body);
    void removeExpiredKeys();

    // The claim of a key, in lib/Idempotency/KeyClaims.cpp.
    void startClaim(const std::string &key, Held &held, KeyOutput &out);
    std::optional<Refusal> chooseWitnesses(const ParsedKey &text, Claim &claim) const;
    bool isCurrent(const std::string &key, const Claim &claim) const;
    void sendClaims(const std::string &key, Held &held, KeyOutput &out);
    void releaseClaim(const std::string &key, const Claim &claim, KeyOutput &out);
    void countVote(const std::string &key, const NodeRun &from, const VoteResult &result,
                   KeyOutput &out);
    void evaluateClaim(const std::string &key, KeyOutput &out);
    void abandonClaim(const std::string &key, const Refusal &refusal, KeyOutput &out);
    void resendClaims(KeyOutput &out);
    std::optional<Refusal> refusalForClaim(const Claim &claim) const;

    void handle(const NodeRun &from, const KeyClaim &claim, KeyOutput &out);
    void handle(const NodeRun &from, const KeyVote &vote, KeyOutput &out);
    void handle(const NodeRun &from, const KeyRelease &release, KeyOutput &out);
    void handle(const NodeRun &from, const KeyQuery &query, KeyOutput &out);
    void handle(const NodeRun &from, const KeyState &state, KeyOutput &out);
    void handle(const NodeRun &from, const RosterUpdate &update, KeyOutput &out);
    void handle(const NodeRun &from, const RosterProposal &proposal, KeyOutput &out);
    void handle(const NodeRun &from, const RosterProposalReply &consent, KeyOutput &out);
    void handle(const NodeRun &from, const RosterDecision &decision, KeyOutput &out);

    KeyOptions m_options;
    TimePoint m_now;
    WallTime m_wall; ///< Never steps back, whatever the machine's clock does.
    RosterCoordinator m_rosterCoordinator;
    Witness m_witness;
    HeldKeys m_heldKeys;
    std::set<std::string> m_claimingKeys;         ///< Keys of m_heldKeys in the phase Claiming.
    std::uint64_t m_claimCount = 0;               ///< Numbers claims.
    std::deque<std::string> m_storedResponseKeys; ///< Keys with a kept answer, oldest first.
    std::size_t m_storedResponseBytes = 0;
    WallTime m_nextSweepAt;
};

} // namespace berylridge
