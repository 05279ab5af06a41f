// The entry point of the idempotency component. It admits each key at most once in the fleet,
// stores responses for repeated requests and acts as a witness for other nodes. See
// docs/design/idempotency.md.
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
    Duration lifetime = std::chrono::hours(1); ///< Older keys are refused.
    /// How far a caller's clock may be ahead of this node's clock.
    Duration futureTolerance = std::chrono::seconds(1);
    /// The maximum deviation of a node's clock from true time.
    Duration maxClockSkew = std::chrono::milliseconds(500);
    /// How long a proposer waits until all recipients have consented to a roster.
    Duration consentTimeout = std::chrono::milliseconds(500);
    /// How long the set of members must be unchanged before a node proposes a roster.
    Duration membershipStablePeriod = std::chrono::seconds(1);
    /// How long an incarnation counts as alive after its last message.
    Duration livenessTimeout = std::chrono::milliseconds(2500);
    /// The longest wait for the votes of witnesses.
    Duration claimTimeout = std::chrono::milliseconds(1500);
    /// Claims and proposals are resent at this interval because datagrams may be lost.
    Duration resendPeriod = std::chrono::milliseconds(100);
    /// The interval of liveness messages to the witnesses.
    Duration gossipPeriod = std::chrono::seconds(1);
    std::size_t maxRosterMembers = 9; ///< The maximum number of witnesses in a roster.
    /// The maximum number of keys held and, separately, of keys voted for as a witness.
    std::size_t maxKeys = 100'000;
    /// The maximum size of all stored response bodies together.
    std::size_t maxStoredResponseBytes = 8 << 20;
    /// The maximum size of one stored response body.
    std::size_t maxStoredResponseBodyBytes = 64 << 10;
};

/// Implements one node's part in running each key at most once. It is copyable so that tests can
/// copy a node's state.
class KeyRegistry
{
public:
    explicit KeyRegistry(KeyOptions options);

    /// Requests admission of a key. The decision for the request is output now or later; the
    /// request waits until then. Must not be called for a request without a key.
    void begin(KeyRequestId request, const std::string &key, std::uint64_t bodyHash, TimePoint now,
               WallTime wall, KeyOutput &out);

    /// Returns whether an admitted key may still be dispatched. Must be checked immediately before
    /// the first byte is sent.
    bool mayDispatch(const std::string &key, TimePoint now, WallTime wall) const;
    /// Records that bytes may be sent to a target from now on.
    void dispatched(const std::string &key);
    /// Records that the attempt failed before any byte was sent, as if the key had not been
    /// dispatched.
    void revertDispatch(const std::string &key);
    /// Ends the claim of a request that is abandoned before any byte was sent. Returns the verdict
    /// for the caller: NotRun only if this node held the key, otherwise MayHaveRun.
    Verdict release(const std::string &key, KeyOutput &out);
    /// Records the target's response. The response is stored for repeated requests as long as
    /// memory and the key's lifetime allow.
    void finished(const std::string &key, unsigned status, std::vector<KeyHeader> headers,
                  std::optional<std::string> body);
    /// Records that the attempt ended without a complete response: the operation may have run.
    void failed(const std::string &key);

    /// Returns a new key that only this process admits, for POST /v1/idempotency-keys.
    std::string issueKey(TimePoint now, WallTime wall);

    void onMessage(const NodeId &from, Incarnation incarnation, const KeyMessage &message,
                   TimePoint now, WallTime wall, KeyOutput &out);
    /// Receives all nodes that the membership knows, whenever one of them changes.
    void onMembers(std::span<const KeyMember> members, TimePoint now, WallTime wall,
                   KeyOutput &out);
    void onVmList(const VmList &list, TimePoint now, WallTime wall, KeyOutput &out);
    void tick(TimePoint now, WallTime wall, KeyOutput &out);
    /// Returns when tick() must be called next, or TimePoint::max() if nothing is pending.
    TimePoint nextTimer() const;

    KeyPhase phase(const std::string &key) const;
    /// Returns how many claims this process has made. Claims are numbered consecutively.
    std::uint64_t claimCount() const { return m_claimCount; }
    /// Returns whether witnesses exist for a key that a caller creates now. False until the first
    /// roster has started and for maxClockSkew after that, because the caller's clock may be
    /// behind.
    bool acceptsNewKeys(WallTime wall) const;

    /// Returns the rosters that this node knows, for operators.
    const RosterChain &rosters() const { return m_rosterCoordinator.chain(); }
    /// Returns one line with all state that determines the node's further behaviour, for operators
    /// and for state-space searches in tests.
    std::string describe() const;

private:
    /// A claim that waits for the votes of the key's witnesses.
    struct Claim
    {
        std::uint64_t number = 0;
        RosterId roster = 0;
        std::vector<NodeIncarnation> witnesses;
        std::size_t quorum = 0;
        std::set<NodeIncarnation> yes;
        std::set<NodeIncarnation> no;
        /// The incarnation that holds the key according to a witness.
        std::optional<NodeIncarnation> holder;
        TimePoint deadline;
        TimePoint resendAt;
    };

    /// The state of a key that this node holds.
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

    /// A refusal that is not yet assigned to a request.
    struct Refusal
    {
        unsigned status = 503;
        const char *type = "";
        const char *title = "";
        std::optional<Duration> retryAfter;
        Verdict verdict = Verdict::MayHaveRun;
    };

    NodeIncarnation self() const { return {m_options.node, m_options.incarnation}; }
    void advanceClocks(TimePoint now, WallTime wall);
    std::optional<Refusal> refusalForAge(const ParsedKey &parsedKey) const;
    void handleRepeat(KeyRequestId request, const std::string &key, std::uint64_t bodyHash,
                      const Held &held, KeyOutput &out) const;
    WallTime retentionEnd(const ParsedKey &parsedKey) const;
    static void refuse(KeyRequestId request, const std::string &key, const Refusal &refusal,
                       KeyOutput &out);
    void storeResponse(const std::string &key, Held &held, std::optional<std::string> body);
    void removeExpiredKeys();

    // The functions below handle claims and the messages about them; see
    // lib/Idempotency/KeyClaims.cpp.
    void startClaim(const std::string &key, Held &held, KeyOutput &out);
    std::optional<Refusal> chooseWitnesses(const ParsedKey &parsedKey, Claim &claim) const;
    bool isCurrent(const std::string &key, const Claim &claim) const;
    void sendClaims(const std::string &key, Held &held, KeyOutput &out);
    void releaseClaim(const std::string &key, const Claim &claim, KeyOutput &out);
    void countVote(const std::string &key, const NodeIncarnation &from, const VoteResult &result,
                   KeyOutput &out);
    void evaluateClaim(const std::string &key, KeyOutput &out);
    void abandonClaim(const std::string &key, const Refusal &refusal, KeyOutput &out);
    void resendClaims(KeyOutput &out);
    std::optional<Refusal> refusalForClaim(const Claim &claim) const;

    void handle(const NodeIncarnation &from, const KeyClaim &claim, KeyOutput &out);
    void handle(const NodeIncarnation &from, const KeyVote &vote, KeyOutput &out);
    void handle(const NodeIncarnation &from, const KeyRelease &release, KeyOutput &out);
    void handle(const NodeIncarnation &from, const KeyQuery &query, KeyOutput &out);
    void handle(const NodeIncarnation &from, const KeyState &state, KeyOutput &out);
    void handle(const NodeIncarnation &from, const RosterUpdate &update, KeyOutput &out);
    void handle(const NodeIncarnation &from, const RosterProposal &proposal, KeyOutput &out);
    void handle(const NodeIncarnation &from, const RosterProposalReply &reply, KeyOutput &out);
    void handle(const NodeIncarnation &from, const RosterDecision &decision, KeyOutput &out);

    KeyOptions m_options;
    TimePoint m_now;
    WallTime m_wall; ///< Never decreases, even if the machine's clock is set back.
    RosterCoordinator m_rosterCoordinator;
    Witness m_witness;
    HeldKeys m_heldKeys;
    /// The keys of m_heldKeys in the phase Claiming.
    std::set<std::string> m_claimingKeys;
    std::uint64_t m_claimCount = 0; ///< The number of the latest claim.
    /// The keys with a stored response, oldest first.
    std::deque<std::string> m_storedResponseKeys;
    std::size_t m_storedResponseBytes = 0;
    WallTime m_nextSweepAt;
};

} // namespace berylridge
