#include "Idempotency/KeySearch.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace berylridge::test {

namespace {

constexpr KeyRequestId request = 1;
constexpr std::uint64_t bodyHash = 7;

using NodePointer = std::shared_ptr<const SearchNode>;
using MessagePointer = std::shared_ptr<const SearchMessage>;
using NodeAction = std::function<void(KeyRegistry &, KeyOutput &)>;

std::uint64_t digestOf(const SearchNode &node)
{
    return hash64(node.nodeIncarnation.node.str() + std::to_string(node.nodeIncarnation.incarnation)
                  + node.registry.describe());
}

std::uint64_t digestOf(const SearchMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message.from.node.str());
    msgpack::pack(buffer, message.from.incarnation);
    msgpack::pack(buffer, message.to);
    msgpack::pack(buffer, message.message.index());
    std::visit([&](const auto &body) { msgpack::pack(buffer, body); }, message.message);
    return hash64({buffer.data(), buffer.size()});
}

std::uint64_t digestOf(std::span<const std::uint64_t> values)
{
    // NOLINTNEXTLINE: the bytes of plain numbers
    return hash64({reinterpret_cast<const char *>(values.data()), values.size_bytes()});
}

std::uint64_t digestOf(const SearchState &state)
{
    std::vector<std::uint64_t> values;
    values.reserve(state.nodes.size() + state.network.size() + 3);
    for (const NodePointer &node : state.nodes)
        values.push_back(node ? node->digest : 0);
    for (const MessagePointer &message : state.network)
        values.push_back(message->digest);
    values.push_back(state.routersUsed);
    values.push_back(state.ticksUsed);
    values.push_back(state.delaysUsed + 100ULL * state.kills + 10'000ULL * state.starts);
    values.push_back(state.dispatches * 2ULL + (state.isFinished ? 1 : 0));
    return digestOf(values);
}

KeyOptions options(const NodeIncarnation &nodeIncarnation)
{
    KeyOptions options;
    options.node = nodeIncarnation.node;
    options.incarnation = nodeIncarnation.incarnation;
    // Periodic liveness messages do not affect safety; without them the search needs fewer time
    // steps.
    options.gossipPeriod = std::chrono::hours(1);
    options.livenessTimeout = std::chrono::hours(1);
    options.resendPeriod = std::chrono::milliseconds(400);
    return options;
}

/// The result of an action on a node. It is the same wherever the node is in the same state.
struct Outcome
{
    NodePointer node;
    std::vector<MessagePointer> sent;
    std::vector<KeyDecision> decisions;
};

std::optional<std::size_t> indexOf(const SearchSetup &setup, const NodeId &node)
{
    const auto at = std::find(setup.names.begin(), setup.names.end(), node);
    if (at == setup.names.end())
        return std::nullopt;
    return static_cast<std::size_t>(at - setup.names.begin());
}

Outcome runAction(const SearchSetup &setup, const SearchNode &before, const NodeAction &act)
{
    auto node = std::make_shared<SearchNode>(before);
    KeyOutput out;
    act(node->registry, out);
    node->digest = digestOf(*node);
    Outcome outcome;
    for (OutgoingKeyMessage &send : out.sends) {
        const auto to = indexOf(setup, send.to);
        const auto *update = std::get_if<RosterUpdate>(&send.message);
        // A liveness message without new information is treated as lost.
        const bool isIdle
            = update && update->rosters.empty() && update->terminated.empty() && !node->isNew;
        if (!to || send.to == node->nodeIncarnation.node || isIdle)
            continue;
        SearchMessage message {node->nodeIncarnation, *to, std::move(send.message), 0};
        message.digest = digestOf(message);
        outcome.sent.push_back(std::make_shared<const SearchMessage>(std::move(message)));
    }
    outcome.decisions = std::move(out.decisions);
    outcome.node = std::move(node);
    return outcome;
}

/// Returns the node's own clock.
WallTime wallTimeOf(const SearchSetup &setup, const SearchState &state, std::size_t index)
{
    return state.wall + setup.skews[index];
}

void addMessage(SearchState &state, const MessagePointer &message)
{
    const auto at
        = std::lower_bound(state.network.begin(), state.network.end(), message,
                           [](const auto &a, const auto &b) { return a->digest < b->digest; });
    if (at == state.network.end() || (*at)->digest != message->digest)
        state.network.insert(at, message);
}

NodePointer makeStartedNode(const SearchSetup &setup, std::size_t index, const SearchState &state,
                            Incarnation incarnation)
{
    const NodeIncarnation nodeIncarnation {setup.names[index], incarnation};
    SearchNode node {nodeIncarnation, KeyRegistry(options(nodeIncarnation)), 0, true};
    KeyOutput out;
    node.registry.onVmList(setup.lists[index], state.now, wallTimeOf(setup, state, index), out);
    node.digest = digestOf(node);
    return std::make_shared<const SearchNode>(std::move(node));
}

/// Terminates the node's incarnation in the state and reports the termination to the other nodes.
void terminateIncarnation(const SearchSetup &setup, SearchState &state, std::size_t index)
{
    const NodeIncarnation terminated = state.nodes[index]->nodeIncarnation;
    state.nodes[index] = nullptr;
    const KeyMember gone {terminated.node, terminated.incarnation, false, false, true};
    for (std::size_t i = 0; i < state.nodes.size(); ++i) {
        if (!state.nodes[i])
            continue;
        const Outcome reported
            = runAction(setup, *state.nodes[i], [&](KeyRegistry &registry, KeyOutput &out) {
                  registry.onMembers(std::span(&gone, 1), state.now, wallTimeOf(setup, state, i),
                                     out);
              });
        state.nodes[i] = reported.node;
    }
}

class StateSpaceSearch
{
public:
    explicit StateSpaceSearch(const SearchSetup &setup)
        : m_setup(setup)
    {
    }

    SearchResult run(const SearchLimits &limits)
    {
        std::vector<SearchState> frontier {m_setup.start};
        m_seen.insert(digestOf(m_setup.start));
        m_history.push_back({0, 0});
        while (!frontier.empty() && m_result.depth < limits.depth && m_seen.size() < limits.states
               && m_result.violation.empty()) {
            m_next.clear();
            for (const SearchState &state : frontier)
                expand(state);
            std::swap(frontier, m_next);
            ++m_result.depth;
        }
        m_result.isExhausted = frontier.empty() && m_result.violation.empty();
        m_result.states = m_seen.size();
        m_result.rosters = m_rosters.size();
        return m_result;
    }

private:
    /// The move that led to a state, for the trace of a violation.
    struct Step
    {
        std::uint32_t parent = 0;
        std::uint32_t name = 0;
    };

    void expand(const SearchState &state)
    {
        for (std::size_t i = 0; i < state.nodes.size(); ++i) {
            if (state.nodes[i])
                expandNode(state, i);
            else if (state.starts < m_setup.budget.starts)
                startMove(state, i);
        }
        for (const MessagePointer &message : state.network)
            messageMove(state, message);
        for (const std::size_t index : m_setup.budget.killable)
            killMove(state, index);
        delayMove(state);
    }

    /// Returns the result of an action, from a cache if the node was in the same state before.
    const Outcome &outcome(const SearchState &state, std::size_t index, const std::string &name,
                           std::uint64_t subject, const NodeAction &act)
    {
        const SearchNode &node = *state.nodes[index];
        const std::uint64_t values[] {node.digest, hash64(name), subject, state.delaysUsed};
        auto [it, isNew] = m_outcomes.try_emplace(digestOf(values));
        if (isNew) {
            it->second = runAction(m_setup, node, act);
            for (const Roster &roster : it->second.node->registry.rosters().all()) {
                if (roster.isActive)
                    m_rosters.insert(roster.id);
            }
        }
        return it->second;
    }

    /// Returns whether the message is a vote or key state for a node that will never claim the key
    /// again. Such a message has no effect.
    bool isStale(const SearchState &state, const SearchMessage &message) const
    {
        const bool isReply = std::holds_alternative<KeyVote>(message.message)
            || std::holds_alternative<KeyState>(message.message);
        const NodePointer &node = state.nodes[message.to];
        if (!isReply || !node || node->registry.phase(m_setup.key) == KeyPhase::Claiming)
            return false;
        for (std::size_t entry = 0; entry < m_setup.budget.routers.size(); ++entry) {
            const bool isUsed = (state.routersUsed >> entry & 1U) != 0;
            if (!isUsed && m_setup.budget.routers[entry] == message.to)
                return false;
        }
        return true;
    }

    /// Adds the state that follows from the outcome of an action on a node.
    void act(const SearchState &state, std::size_t index, const std::string &name,
             const Outcome &outcome, SearchState next)
    {
        next.nodes[index] = outcome.node;
        for (const MessagePointer &message : outcome.sent)
            addMessage(next, message);
        std::erase_if(next.network,
                      [&](const MessagePointer &message) { return isStale(next, *message); });
        for (const KeyDecision &decision : outcome.decisions)
            checkDecision(state, decision);
        enqueue(state, name + ' ' + m_setup.names[index].str(), std::move(next));
    }

    void enqueue(const SearchState &state, const std::string &name, SearchState next)
    {
        if (!m_seen.insert(digestOf(next)).second && m_violation.empty())
            return;
        next.parent = static_cast<std::uint32_t>(m_history.size());
        m_history.push_back({state.parent, nameIndex(name)});
        if (!m_violation.empty() && m_result.violation.empty())
            m_result.violation = formatTrace(next);
        m_next.push_back(std::move(next));
    }

    void checkDecision(const SearchState &state, const KeyDecision &decision)
    {
        const auto *refused = std::get_if<KeyRefused>(&decision);
        if (refused && refused->verdict == Verdict::NotRun && state.dispatches > 0)
            m_violation = "refused as not run after the key was dispatched";
        if (std::holds_alternative<KeyReplayed>(decision) && !state.isFinished)
            m_violation = "answered although the operation never finished";
    }

    void expandNode(const SearchState &state, std::size_t index)
    {
        const KeyRegistry &registry = state.nodes[index]->registry;
        for (std::size_t entry = 0; entry < m_setup.budget.ticks.size(); ++entry) {
            const bool isUsed = (state.ticksUsed >> entry & 1U) != 0;
            const bool isDue = registry.nextTimer() <= state.now;
            if (!isUsed && isDue && m_setup.budget.ticks[entry] == index)
                tickMove(state, index, entry);
        }
        for (std::size_t entry = 0; entry < m_setup.budget.routers.size(); ++entry) {
            const bool isUsed = (state.routersUsed >> entry & 1U) != 0;
            if (!isUsed && m_setup.budget.routers[entry] == index)
                beginMove(state, index, entry);
        }
        if (registry.mayDispatch(m_setup.key, state.now, wallTimeOf(m_setup, state, index)))
            dispatchMove(state, index);
        const KeyPhase phase = registry.phase(m_setup.key);
        if (phase == KeyPhase::Claiming || phase == KeyPhase::Admitted)
            releaseMove(state, index);
        if (phase == KeyPhase::Running)
            finishMove(state, index);
    }

    void tickMove(const SearchState &state, std::size_t index, std::size_t entry)
    {
        const Outcome &ticked
            = outcome(state, index, "tick", 0, [&](KeyRegistry &node, KeyOutput &out) {
                  node.tick(state.now, wallTimeOf(m_setup, state, index), out);
              });
        SearchState next = state;
        next.ticksUsed |= 1U << entry;
        act(state, index, "tick", ticked, std::move(next));
    }

    void beginMove(const SearchState &state, std::size_t index, std::size_t entry)
    {
        const Outcome &begun
            = outcome(state, index, "begin", 0, [&](KeyRegistry &node, KeyOutput &out) {
                  node.begin(request, m_setup.key, bodyHash, state.now,
                             wallTimeOf(m_setup, state, index), out);
              });
        SearchState next = state;
        next.routersUsed |= 1U << entry;
        act(state, index, "begin", begun, std::move(next));
    }

    void dispatchMove(const SearchState &state, std::size_t index)
    {
        const Outcome &dispatched
            = outcome(state, index, "dispatch", 0,
                      [&](KeyRegistry &node, KeyOutput &) { node.dispatched(m_setup.key); });
        SearchState next = state;
        ++m_result.dispatches;
        if (++next.dispatches > 1)
            m_violation = "the key was dispatched twice";
        act(state, index, "dispatch", dispatched, std::move(next));
    }

    void releaseMove(const SearchState &state, std::size_t index)
    {
        // The caller receives the verdict of release() as for any other refusal.
        const Outcome &released
            = outcome(state, index, "release", 0, [&](KeyRegistry &node, KeyOutput &out) {
                  KeyRefused refused {request, m_setup.key, 503, Verdict::MayHaveRun, "", "", {}};
                  refused.verdict = node.release(m_setup.key, out);
                  out.decisions.emplace_back(std::move(refused));
              });
        act(state, index, "release", released, state);
    }

    void finishMove(const SearchState &state, std::size_t index)
    {
        const Outcome &finished
            = outcome(state, index, "finish", 0, [&](KeyRegistry &node, KeyOutput &) {
                  node.finished(m_setup.key, 200, {}, "done");
              });
        SearchState next = state;
        next.isFinished = true;
        act(state, index, "finish", finished, std::move(next));
    }

    void messageMove(const SearchState &state, const MessagePointer &message)
    {
        if (!state.nodes[message->to])
            return;
        const Outcome &arrived = outcome(
            state, message->to, "message", message->digest, [&](KeyRegistry &node, KeyOutput &out) {
                node.onMessage(message->from.node, message->from.incarnation, message->message,
                               state.now, state.wall, out);
            });
        act(state, message->to,
            std::to_string(message->message.index()) + " from " + message->from.node.str()
                + std::to_string(message->from.incarnation) + " to",
            arrived, state);
    }

    void startMove(const SearchState &state, std::size_t index)
    {
        SearchState next = state;
        ++next.starts;
        next.nodes[index]
            = makeStartedNode(m_setup, index, state, m_setup.lastIncarnation + next.starts);
        exchangeFirstMessages(next, index);
        enqueue(state, "start " + m_setup.names[index].str(), std::move(next));
    }

    /// Lets the new incarnation and the other nodes exchange their first messages at once. Before
    /// that, the new incarnation could only refuse keys.
    void exchangeFirstMessages(SearchState &state, std::size_t index)
    {
        const auto tick = [&](KeyRegistry &node, KeyOutput &out) {
            node.tick(state.now, wallTimeOf(m_setup, state, index), out);
        };
        std::deque<MessagePointer> sent;
        const auto apply = [&](std::size_t at, const NodeAction &act) {
            const Outcome outcome = runAction(m_setup, *state.nodes[at], act);
            state.nodes[at] = outcome.node;
            sent.insert(sent.end(), outcome.sent.begin(), outcome.sent.end());
        };
        apply(index, tick);
        while (!sent.empty()) {
            const MessagePointer message = sent.front();
            sent.pop_front();
            if (!state.nodes[message->to])
                continue;
            apply(message->to, [&](KeyRegistry &node, KeyOutput &out) {
                node.onMessage(message->from.node, message->from.incarnation, message->message,
                               state.now, wallTimeOf(m_setup, state, message->to), out);
            });
        }
        auto updated = std::make_shared<SearchNode>(*state.nodes[index]);
        updated->isNew = false;
        state.nodes[index] = std::move(updated);
    }

    void killMove(const SearchState &state, std::size_t index)
    {
        if (!state.nodes[index] || state.kills >= m_setup.budget.kills)
            return;
        SearchState next = state;
        ++next.kills;
        terminateIncarnation(m_setup, next, index);
        enqueue(state, "kill " + m_setup.names[index].str(), std::move(next));
    }

    void delayMove(const SearchState &state)
    {
        if (state.delaysUsed >= m_setup.budget.delays.size())
            return;
        SearchState next = state;
        const Duration delay = m_setup.budget.delays[next.delaysUsed++];
        next.now += delay;
        next.wall += std::chrono::floor<std::chrono::milliseconds>(delay);
        enqueue(state, "wait", std::move(next));
    }

    std::uint32_t nameIndex(const std::string &name)
    {
        const auto [it, isNew]
            = m_names.try_emplace(name, static_cast<std::uint32_t>(m_nameTexts.size()));
        if (isNew)
            m_nameTexts.push_back(name);
        return it->second;
    }

    std::string formatTrace(const SearchState &last) const
    {
        std::vector<std::string> steps;
        for (std::uint32_t at = last.parent; at != 0; at = m_history[at].parent)
            steps.push_back(m_nameTexts[m_history[at].name]);
        std::string text = m_violation + ":";
        std::reverse(steps.begin(), steps.end());
        for (const std::string &step : steps)
            text += "\n  " + step;
        return text;
    }

    const SearchSetup &m_setup;
    SearchResult m_result;
    std::vector<SearchState> m_next;
    std::unordered_set<std::uint64_t> m_seen;
    std::unordered_map<std::uint64_t, Outcome> m_outcomes;
    std::set<RosterId> m_rosters;
    std::vector<Step> m_history;
    std::unordered_map<std::string, std::uint32_t> m_names;
    std::vector<std::string> m_nameTexts;
    std::string m_violation;
};

} // namespace

SearchSetup makeSetup(const std::vector<std::string> &names, const VmList &list)
{
    SearchSetup setup;
    const ManualClock clock;
    setup.start.now = clock.now();
    setup.start.wall = clock.wallNow();
    for (const std::string &name : names) {
        setup.names.emplace_back(name);
        setup.lists.push_back(list);
        setup.skews.emplace_back(0);
        setup.start.nodes.emplace_back();
    }
    for (std::size_t i = 0; i < names.size(); ++i)
        start(setup, i);
    return setup;
}

void runWithoutFaults(SearchSetup &setup, Duration time)
{
    constexpr Duration step = std::chrono::milliseconds(100);
    SearchState &state = setup.start;
    std::deque<MessagePointer> sent;
    const auto apply = [&](std::size_t index, const NodeAction &act) {
        Outcome outcome = runAction(setup, *state.nodes[index], act);
        state.nodes[index] = outcome.node;
        sent.insert(sent.end(), outcome.sent.begin(), outcome.sent.end());
    };
    for (Duration passed {0}; passed < time; passed += step) {
        state.now += step;
        state.wall += std::chrono::floor<std::chrono::milliseconds>(step);
        for (std::size_t i = 0; i < state.nodes.size(); ++i) {
            if (!state.nodes[i])
                continue;
            apply(i, [&](KeyRegistry &registry, KeyOutput &out) {
                registry.tick(state.now, wallTimeOf(setup, state, i), out);
            });
        }
        while (!sent.empty()) {
            const MessagePointer message = sent.front();
            sent.pop_front();
            if (!state.nodes[message->to])
                continue;
            apply(message->to, [&](KeyRegistry &registry, KeyOutput &out) {
                registry.onMessage(message->from.node, message->from.incarnation, message->message,
                                   state.now, wallTimeOf(setup, state, message->to), out);
            });
        }
    }
    for (NodePointer &node : state.nodes) {
        if (!node)
            continue;
        auto updated = std::make_shared<SearchNode>(*node);
        updated->isNew = false;
        node = std::move(updated);
    }
}

void setList(SearchSetup &setup, std::size_t index, const VmList &list)
{
    setup.lists[index] = list;
    NodePointer &node = setup.start.nodes[index];
    if (!node)
        return;
    node = runAction(setup, *node, [&](KeyRegistry &registry, KeyOutput &out) {
               registry.onVmList(list, setup.start.now, wallTimeOf(setup, setup.start, index), out);
           }).node;
}

void start(SearchSetup &setup, std::size_t index)
{
    setup.start.nodes[index] = makeStartedNode(setup, index, setup.start, ++setup.lastIncarnation);
}

void kill(SearchSetup &setup, std::size_t index)
{
    terminateIncarnation(setup, setup.start, index);
}

SearchResult search(const SearchSetup &setup, const SearchLimits &limits)
{
    return StateSpaceSearch(setup).run(limits);
}

} // namespace berylridge::test
