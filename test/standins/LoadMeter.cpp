#include "LoadMeter.h"

#include <algorithm>
#include <unistd.h>

namespace berylridge::standin {

namespace {

std::string makeBootId()
{
    const auto now = SystemClock().wallNow().time_since_epoch().count();
    return "boot-" + std::to_string(now) + "-" + std::to_string(getpid());
}

Json::Value toJsonNumber(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

} // namespace

LoadMeter::LoadMeter(std::uint32_t slots, std::uint32_t coldSlots, std::uint64_t warmAfter)
    : m_slots(slots)
    , m_coldSlots(coldSlots)
    , m_warmAfter(warmAfter)
    , m_bootId(makeBootId())
{
}

RunningRequest LoadMeter::begin(const std::string &workspace)
{
    if (!isCold() && isFull())
        ++m_overSlots;
    ++m_started;
    ++m_running;
    m_maxRunning = std::max(m_maxRunning, m_running);
    if (isCold())
        m_maxRunningCold = std::max(m_maxRunningCold, m_running);
    auto &load = m_workspaces[workspace];
    ++load.started;
    ++load.running;
    const auto now = SystemClock().now();
    m_startTimes.emplace(now, workspace);
    return {workspace, now};
}

void LoadMeter::end(const RunningRequest &runningRequest, bool isCompleted)
{
    --m_running;
    if (isCompleted)
        ++m_completed;
    auto &load = m_workspaces[runningRequest.workspace];
    --load.running;
    const double seconds = toSeconds(SystemClock().now() - runningRequest.startedAt);
    load.busySeconds += seconds;
    m_busySeconds += seconds;
    auto [first, last] = m_startTimes.equal_range(runningRequest.startedAt);
    const auto entry = std::find_if(
        first, last, [&](const auto &e) { return e.second == runningRequest.workspace; });
    if (entry != last)
        m_startTimes.erase(entry);
}

Json::Value LoadMeter::load() const
{
    Json::Value value;
    value["bootId"] = m_bootId;
    value["running"] = m_running;
    value["completed"] = toJsonNumber(m_completed);
    value["ageMs"] = 0;
    return value;
}

Json::Value LoadMeter::toJson() const
{
    Json::Value value = load();
    value["slots"] = m_slots;
    value["isCold"] = isCold();
    value["maxRunning"] = m_maxRunning;
    value["maxRunningCold"] = m_maxRunningCold;
    value["started"] = toJsonNumber(m_started);
    value["overloads"] = toJsonNumber(m_overloads);
    value["cancels"] = toJsonNumber(m_cancels);
    value["overSlots"] = toJsonNumber(m_overSlots);
    const auto now = SystemClock().now();
    std::map<std::string, double> runningSeconds;
    double totalRunningSeconds = 0;
    for (const auto &[startedAt, workspace] : m_startTimes) {
        runningSeconds[workspace] += toSeconds(now - startedAt);
        totalRunningSeconds += toSeconds(now - startedAt);
    }
    value["busySeconds"] = m_busySeconds + totalRunningSeconds;
    auto &workspaces = value["workspaces"] = Json::Value(Json::objectValue);
    for (const auto &[name, load] : m_workspaces) {
        workspaces[name]["started"] = toJsonNumber(load.started);
        workspaces[name]["running"] = load.running;
        workspaces[name]["busySeconds"] = load.busySeconds + runningSeconds[name];
    }
    return value;
}

} // namespace berylridge::standin
