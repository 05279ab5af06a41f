#include "WorkspaceTally.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace berylridge {

namespace {

constexpr Duration logPeriod = std::chrono::seconds(1);
/// Limits a line to the workspaces with the highest demand, which keeps it below a few kilobytes.
constexpr std::size_t maxLoggedWorkspaces = 24;

Json::Value counts(const std::map<std::string, std::uint64_t> &byName)
{
    Json::Value out(Json::objectValue);
    for (const auto &[name, count] : byName)
        out[name] = Json::UInt64(count);
    return out;
}

Json::Value roundedTokens(double tokens)
{
    return Json::Int64(std::llround(tokens));
}

} // namespace

void WorkspaceTally::requested(const BalancedRequest &request, double tokens)
{
    Entry &entry = m_entries[request.workspace.str()];
    ++entry.requests;
    entry.askedTokens += tokens;
}

void WorkspaceTally::admitted(const BalancedRequest &request, double tokens)
{
    m_entries[request.workspace.str()].admittedTokens += tokens;
}

void WorkspaceTally::refused(const BalancedRequest &request, const char *type)
{
    ++m_entries[request.workspace.str()].refusals[type];
    m_hasRefusals = true;
}

void WorkspaceTally::heldBack(const BalancedRequest &request)
{
    ++m_entries[request.workspace.str()].heldBack;
}

void WorkspaceTally::turnedAway(std::span<const ShedCount> counts)
{
    for (const ShedCount &each : counts) {
        const WorkspaceSpec *workspace = m_context.routeTable
            ? m_context.routeTable->workspaceForCredentialHash(each.credential)
            : nullptr;
        m_entries[workspace ? workspace->name : std::string()].turnedAway += each.requests;
        m_hasRefusals = true;
    }
}

void WorkspaceTally::begun(const BalancedRequest &request, double tokens, bool isLate)
{
    Entry &entry = m_entries[request.workspace.str()];
    ++entry.begun;
    entry.begunTokens += tokens;
    entry.late += isLate ? 1 : 0;
}

void WorkspaceTally::endedUnbegun(const BalancedRequest &request, double tokens)
{
    Entry &entry = m_entries[request.workspace.str()];
    (request.verdict == Verdict::NotRun ? entry.notRunTokens : entry.unknownTokens) += tokens;
}

void WorkspaceTally::attemptFailed(const BalancedRequest &request, const char *failure)
{
    ++m_entries[request.workspace.str()].failures[failure];
}

void WorkspaceTally::tick(const WorkspaceShares::FleetView &fleet)
{
    if (m_context.now - m_lastLoggedAt < logPeriod)
        return;
    m_lastLoggedAt = m_context.now;
    const auto entries = std::exchange(m_entries, {});
    if (!std::exchange(m_hasRefusals, false))
        return;
    std::vector<const std::pair<const std::string, Entry> *> order;
    order.reserve(entries.size());
    for (const auto &named : entries)
        order.push_back(&named);
    std::sort(order.begin(), order.end(), [](const auto *left, const auto *right) {
        return left->second.askedTokens > right->second.askedTokens;
    });
    order.resize(std::min(order.size(), maxLoggedWorkspaces));
    Json::Value workspaces(Json::objectValue);
    for (const auto *named : order) {
        const Entry &entry = named->second;
        Json::Value &out = workspaces[named->first];
        out["requests"] = Json::UInt64(entry.requests);
        out["askedTokens"] = roundedTokens(entry.askedTokens);
        out["admittedTokens"] = roundedTokens(entry.admittedTokens);
        out["notRunTokens"] = roundedTokens(entry.notRunTokens);
        out["unknownTokens"] = roundedTokens(entry.unknownTokens);
        out["begunTokens"] = roundedTokens(entry.begunTokens);
        out["begun"] = Json::UInt64(entry.begun);
        out["late"] = Json::UInt64(entry.late);
        out["turnedAway"] = Json::UInt64(entry.turnedAway);
        out["heldBack"] = Json::UInt64(entry.heldBack);
        out["refused"] = counts(entry.refusals);
        out["failed"] = counts(entry.failures);
    }
    Json::Value fields;
    fields["named"] = Json::UInt64(order.size());
    fields["known"] = Json::UInt64(entries.size());
    fields["fleetServed"] = roundedTokens(fleet.servedPerSecond);
    fields["fleetTurnedAway"] = roundedTokens(fleet.rejectedPerSecond);
    fields["fleetMissed"] = roundedTokens(fleet.missedPerSecond);
    fields["fleetCapacity"] = roundedTokens(fleet.capacity);
    if (std::isfinite(fleet.fairRate))
        fields["shareLevel"] = roundedTokens(fleet.fairRate);
    fields["workspaces"] = std::move(workspaces);
    m_context.log(LogEventId::WorkspaceTally, "", std::move(fields));
}

} // namespace berylridge
