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

constexpr KeyRequest request = 1;
constexpr std::uint64_t bodyHash = 7;

using NodePointer = std::shared_ptr<const SearchNode>;
using MessagePointer = std::shared_ptr<const SearchMessage>;
using Act = std::function<void(KeyRegistry &, KeyOutput &)>;

std::uint64_t digestOf(const SearchNode &node)
{
    return hash64(node.run.node.str() + std::to_string(node.run.incarnation)
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

std::uint64_t digestOf(const SearchWorld &world)
{
    std::vector<std::uint64_t> values;
    values.reserve(world.nodes.size() + world.network.size() + 3);
    for (const NodePointer &node : world.nodes)
        values.push_back(node ? node->digest : 0);
    for (const MessagePointer &message : world.network)
        values.push_back(message->digest);
    values.push_back(world.routersUsed);
    values.push_back(world.ticksUsed);
    values.push_back(world.delaysUsed + 100ULL * world.kills + 10'000ULL * world.starts);
    values.push_back(world.dispatches * 2ULL + (world.isFinished ? 1 : 0));
    return digestOf(values);
}

KeyOptions options(const NodeRun &run)
{
    KeyOptions options;
    options.node = run.node;
    options.incarnation = run.incarnation;
    // Periodic signs of life change nothing about safety; without them time can pass in few steps.
    options.gossipPeriod = std::chrono::hours(1);
    options.silenceLimit = std::chrono::hours(1);
    options.resendPeriod = std::chrono::milliseconds(400);
    return options;
}

/// What a node made of one act: the same in every world in which it is in the same state.
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

Outcome outcomeOf(const SearchSetup &setup, const SearchNode &before, const Act &act)
{
    auto node = std::make_shared<SearchNode>(before);
    KeyOutput out;
    act(node->registry, out);
    node->digest = digestOf(*node);
    Outcome outcome;
    for (KeySend &send : out.sends) {
        const auto to = indexOf(setup, send.to);
        const auto *news = std::get_if<RosterNews>(&send.message);
        // A sign of life that tells nothing new counts as lost.
        const bool isIdle = news && news->rosters.empty() && news->ended.empty() && !node->isNew;
        if (!to || send.to == node->run.node || isIdle)
            continue;
        SearchMessage message {node->run, *to, std::move(send.message), 0};
        message.digest = digestOf(message);
        outcome.sent.push_back(std::make_shared<const SearchMessage>(std::move(message)));
    }
    outcome.decisions = std::move(out.decisions);
    outcome.node = std::move(node);
    return outcome;
}

/// The node's own clock.
WallTime wallOf(const SearchSetup &setup, const SearchWorld &world, std::size_t index)
{
    return world.wall + setup.skews[index];
}

void addMessage(SearchWorld &world, const MessagePointer &message)
{
    const auto at
        = std::lower_bound(world.network.begin(), world.network.end(), message,
                           [](const auto &a, const auto &b) { return a->digest < b->digest; });
    if (at == world.network.end() || (*at)->digest != message->digest)
        world.network.insert(at, message);
}

NodePointer startedNode(const SearchSetup &setup, std::size_t index, const SearchWorld &world,
                        Incarnation incarnation)
{
    const NodeRun run {setup.names[index], incarnation};
    SearchNode node {run, KeyRegistry(options(run)), 0, true};
    KeyOutput out;
    node.registry.onVmList(setup.lists[index], world.now, wallOf(setup, world, index), out);
    node.digest = digestOf(node);
    return std::make_shared<const SearchNode>(std::move(node));
}

/// Ends the node's run in the world; the other nodes get the proof.
void endRun(const SearchSetup &setup, SearchWorld &world, std::size_t index)
{
    const NodeRun ended = world.nodes[index]->run;
    world.nodes[index] = nullptr;
    const KeyMember gone {ended.node, ended.incarnation, false, false, true};
    for (std::size_t i = 0; i < world.nodes.size(); ++i) {
        if (!world.nodes[i])
            continue;
        const Outcome told
            = outcomeOf(setup, *world.nodes[i], [&](KeyRegistry &registry, KeyOutput &out) {
                  registry.onMembers(std::span(&gone, 1), world.now, wallOf(setup, world, i), out);
              });
        world.nodes[i] = told.node;
    }
}

class Searcher
{
public:
    explicit Searcher(const SearchSetup &setup)
        : m_setup(setup)
    {
    }

    SearchResult run(const SearchLimits &limits)
    {
        std::vector<SearchWorld> frontier {m_setup.start};
        m_seen.insert(digestOf(m_setup.start));
        m_history.push_back({0, 0});
        while (!frontier.empty() && m_result.depth < limits.depth && m_seen.size() < limits.states
               && m_result.violation.empty()) {
            m_next.clear();
            for (const SearchWorld &world : frontier)
                moves(world);
            std::swap(frontier, m_next);
            ++m_result.depth;
        }
        m_result.isExhausted = frontier.empty() && m_result.violation.empty();
        m_result.states = m_seen.size();
        m_result.rosters = m_rosters.size();
        return m_result;
    }

private:
    /// The move that led to a world, for the story of a violation.
    struct Step
    {
        std::uint32_t parent = 0;
        std::uint32_t name = 0;
    };

    void moves(const SearchWorld &world)
    {
        for (std::size_t i = 0; i < world.nodes.size(); ++i) {
            if (world.nodes[i])
                nodeMoves(world, i);
            else if (world.starts < m_setup.budget.starts)
                startMove(world, i);
        }
        for (const MessagePointer &message : world.network)
            messageMove(world, message);
        for (const std::size_t index : m_setup.budget.mortal)
            killMove(world, index);
        delayMove(world);
    }

    /// The outcome of an act, looked up where the node was in the same state before.
    const Outcome &outcome(const SearchWorld &world, std::size_t index, const std::string &name,
                           std::uint64_t subject, const Act &act)
    {
        const SearchNode &node = *world.nodes[index];
        const std::uint64_t values[] {node.digest, hash64(name), subject, world.delaysUsed};
        auto [it, isNew] = m_outcomes.try_emplace(digestOf(values));
        if (isNew) {
            it->second = outcomeOf(m_setup, node, act);
            for (const Roster &roster : it->second.node->registry.rosters().all()) {
                if (roster.isActive)
                    m_rosters.insert(roster.id);
            }
        }
        return it->second;
    }

    /// Votes and states for a node that will never claim again change nothing any more.
    bool isStale(const SearchWorld &world, const SearchMessage &message) const
    {
        const bool isAnswer = std::holds_alternative<KeyVote>(message.message)
            || std::holds_alternative<KeyState>(message.message);
        const NodePointer &node = world.nodes[message.to];
        if (!isAnswer || !node || node->registry.phase(m_setup.key) == KeyPhase::Claiming)
            return false;
        for (std::size_t entry = 0; entry < m_setup.budget.routers.size(); ++entry) {
            const bool isUsed = (world.routersUsed >> entry & 1U) != 0;
            if (!isUsed && m_setup.budget.routers[entry] == message.to)
                return false;
        }
        return true;
    }

    void act(const SearchWorld &world, std::size_t index, const std::string &name,
             const Outcome &outcome, SearchWorld next)
    {
        next.nodes[index] = outcome.node;
        for (const MessagePointer &message : outcome.sent)
            addMessage(next, message);
        std::erase_if(next.network,
                      [&](const MessagePointer &message) { return isStale(next, *message); });
        for (const KeyDecision &decision : outcome.decisions)
            checkDecision(world, decision);
        push(world, name + ' ' + m_setup.names[index].str(), std::move(next));
    }

    void push(const SearchWorld &world, const std::string &name, SearchWorld next)
    {
        if (!m_seen.insert(digestOf(next)).second && m_violation.empty())
            return;
        next.parent = static_cast<std::uint32_t>(m_history.size());
        m_history.push_back({world.parent, nameIndex(name)});
        if (!m_violation.empty() && m_result.violation.empty())
            m_result.violation = story(next);
        m_next.push_back(std::move(next));
    }

    void checkDecision(const SearchWorld &world, const KeyDecision &decision)
    {
        const auto *refused = std::get_if<KeyRefused>(&decision);
        if (refused && refused->verdict == Verdict::NotRun && world.dispatches > 0)
            m_violation = "refused as not run after it was dispatched";
        if (std::holds_alternative<KeyAnswered>(decision) && !world.isFinished)
            m_violation = "answered though it never finished";
    }

    void nodeMoves(const SearchWorld &world, std::size_t index)
    {
        const KeyRegistry &registry = world.nodes[index]->registry;
        for (std::size_t entry = 0; entry < m_setup.budget.ticks.size(); ++entry) {
            const bool isUsed = (world.ticksUsed >> entry & 1U) != 0;
            const bool isDue = registry.nextTimer() <= world.now;
            if (!isUsed && isDue && m_setup.budget.ticks[entry] == index)
                tickMove(world, index, entry);
        }
        for (std::size_t entry = 0; entry < m_setup.budget.routers.size(); ++entry) {
            const bool isUsed = (world.routersUsed >> entry & 1U) != 0;
            if (!isUsed && m_setup.budget.routers[entry] == index)
                beginMove(world, index, entry);
        }
        if (registry.mayDispatch(m_setup.key, world.now, wallOf(m_setup, world, index)))
            dispatchMove(world, index);
        const KeyPhase phase = registry.phase(m_setup.key);
        if (phase == KeyPhase::Claiming || phase == KeyPhase::Admitted)
            releaseMove(world, index);
        if (phase == KeyPhase::Running)
            finishMove(world, index);
    }

    void tickMove(const SearchWorld &world, std::size_t index, std::size_t entry)
    {
        const Outcome &ticked
            = outcome(world, index, "tick", 0, [&](KeyRegistry &node, KeyOutput &out) {
                  node.tick(world.now, wallOf(m_setup, world, index), out);
              });
        SearchWorld next = world;
        next.ticksUsed |= 1U << entry;
        act(world, index, "tick", ticked, std::move(next));
    }

    void beginMove(const SearchWorld &world, std::size_t index, std::size_t entry)
    {
        const Outcome &begun
            = outcome(world, index, "begin", 0, [&](KeyRegistry &node, KeyOutput &out) {
                  node.begin(request, m_setup.key, bodyHash, world.now,
                             wallOf(m_setup, world, index), out);
              });
        SearchWorld next = world;
        next.routersUsed |= 1U << entry;
        act(world, index, "begin", begun, std::move(next));
    }

    void dispatchMove(const SearchWorld &world, std::size_t index)
    {
        const Outcome &dispatched
            = outcome(world, index, "dispatch", 0,
                      [&](KeyRegistry &node, KeyOutput &) { node.dispatched(m_setup.key); });
        SearchWorld next = world;
        ++m_result.dispatches;
        if (++next.dispatches > 1)
            m_violation = "dispatched twice";
        act(world, index, "dispatch", dispatched, std::move(next));
    }

    void releaseMove(const SearchWorld &world, std::size_t index)
    {
        // The caller is told what release() says, as by any other refusal.
        const Outcome &released
            = outcome(world, index, "release", 0, [&](KeyRegistry &node, KeyOutput &out) {
                  KeyRefused refused {request, m_setup.key, 503, Verdict::MayHaveRun, "", "", {}};
                  refused.verdict = node.release(m_setup.key, out);
                  out.decisions.emplace_back(std::move(refused));
              });
        act(world, index, "release", released, world);
    }

    void finishMove(const SearchWorld &world, std::size_t index)
    {
        const Outcome &finished
            = outcome(world, index, "finish", 0, [&](KeyRegistry &node, KeyOutput &) {
                  node.finished(m_setup.key, 200, {}, "done");
              });
        SearchWorld next = world;
        next.isFinished = true;
        act(world, index, "finish", finished, std::move(next));
    }

    void messageMove(const SearchWorld &world, const MessagePointer &message)
    {
        if (!world.nodes[message->to])
            return;
        const Outcome &arrived = outcome(
            world, message->to, "message", message->digest, [&](KeyRegistry &node, KeyOutput &out) {
                node.onMessage(message->from.node, message->from.incarnation, message->message,
                               world.now, world.wall, out);
            });
        act(world, message->to,
            std::to_string(message->message.index()) + " from " + message->from.node.str()
                + std::to_string(message->from.incarnation) + " to",
            arrived, world);
    }

    void startMove(const SearchWorld &world, std::size_t index)
    {
        SearchWorld next = world;
        ++next.starts;
        next.nodes[index]
            = startedNode(m_setup, index, world, m_setup.lastIncarnation + next.starts);
        greet(next, index);
        push(world, "start " + m_setup.names[index].str(), std::move(next));
    }

    /// The new run and the others learn of each other at once: before that it could only refuse.
    void greet(SearchWorld &world, std::size_t index)
    {
        const auto tick = [&](KeyRegistry &node, KeyOutput &out) {
            node.tick(world.now, wallOf(m_setup, world, index), out);
        };
        std::deque<MessagePointer> sent;
        const auto apply = [&](std::size_t at, const Act &act) {
            const Outcome outcome = outcomeOf(m_setup, *world.nodes[at], act);
            world.nodes[at] = outcome.node;
            sent.insert(sent.end(), outcome.sent.begin(), outcome.sent.end());
        };
        apply(index, tick);
        while (!sent.empty()) {
            const MessagePointer message = sent.front();
            sent.pop_front();
            if (!world.nodes[message->to])
                continue;
            apply(message->to, [&](KeyRegistry &node, KeyOutput &out) {
                node.onMessage(message->from.node, message->from.incarnation, message->message,
                               world.now, wallOf(m_setup, world, message->to), out);
            });
        }
        auto known = std::make_shared<SearchNode>(*world.nodes[index]);
        known->isNew = false;
        world.nodes[index] = std::move(known);
    }

    void killMove(const SearchWorld &world, std::size_t index)
    {
        if (!world.nodes[index] || world.kills >= m_setup.budget.kills)
            return;
        SearchWorld next = world;
        ++next.kills;
        endRun(m_setup, next, index);
        push(world, "kill " + m_setup.names[index].str(), std::move(next));
    }

    void delayMove(const SearchWorld &world)
    {
        if (world.delaysUsed >= m_setup.budget.delays.size())
            return;
        SearchWorld next = world;
        const Duration delay = m_setup.budget.delays[next.delaysUsed++];
        next.now += delay;
        next.wall += std::chrono::floor<std::chrono::milliseconds>(delay);
        push(world, "wait", std::move(next));
    }

    std::uint32_t nameIndex(const std::string &name)
    {
        const auto [it, isNew]
            = m_names.try_emplace(name, static_cast<std::uint32_t>(m_nameTexts.size()));
        if (isNew)
            m_nameTexts.push_back(name);
        return it->second;
    }

    std::string story(const SearchWorld &last) const
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
    std::vector<SearchWorld> m_next;
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
    const PausedClock clock;
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

void settle(SearchSetup &setup, Duration time)
{
    constexpr Duration step = std::chrono::milliseconds(100);
    SearchWorld &world = setup.start;
    std::deque<MessagePointer> sent;
    const auto apply = [&](std::size_t index, const Act &act) {
        Outcome outcome = outcomeOf(setup, *world.nodes[index], act);
        world.nodes[index] = outcome.node;
        sent.insert(sent.end(), outcome.sent.begin(), outcome.sent.end());
    };
    for (Duration passed {0}; passed < time; passed += step) {
        world.now += step;
        world.wall += std::chrono::floor<std::chrono::milliseconds>(step);
        for (std::size_t i = 0; i < world.nodes.size(); ++i) {
            if (!world.nodes[i])
                continue;
            apply(i, [&](KeyRegistry &registry, KeyOutput &out) {
                registry.tick(world.now, wallOf(setup, world, i), out);
            });
        }
        while (!sent.empty()) {
            const MessagePointer message = sent.front();
            sent.pop_front();
            if (!world.nodes[message->to])
                continue;
            apply(message->to, [&](KeyRegistry &registry, KeyOutput &out) {
                registry.onMessage(message->from.node, message->from.incarnation, message->message,
                                   world.now, wallOf(setup, world, message->to), out);
            });
        }
    }
    for (NodePointer &node : world.nodes) {
        if (!node)
            continue;
        auto known = std::make_shared<SearchNode>(*node);
        known->isNew = false;
        node = std::move(known);
    }
}

void setList(SearchSetup &setup, std::size_t index, const VmList &list)
{
    setup.lists[index] = list;
    NodePointer &node = setup.start.nodes[index];
    if (!node)
        return;
    node = outcomeOf(setup, *node, [&](KeyRegistry &registry, KeyOutput &out) {
               registry.onVmList(list, setup.start.now, wallOf(setup, setup.start, index), out);
           }).node;
}

void start(SearchSetup &setup, std::size_t index)
{
    setup.start.nodes[index] = startedNode(setup, index, setup.start, ++setup.lastIncarnation);
}

void kill(SearchSetup &setup, std::size_t index)
{
    endRun(setup, setup.start, index);
}

SearchResult search(const SearchSetup &setup, const SearchLimits &limits)
{
    return Searcher(setup).run(limits);
}

} // namespace berylridge::test
