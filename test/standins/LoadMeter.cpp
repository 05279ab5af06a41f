#include "LoadMeter.h"

#include <algorithm>
#include <unistd.h>

namespace berylridge::standin {

namespace {

std::string newBootId()
{
    const auto now = SystemClock().wallNow().time_since_epoch().count();
    return "boot-" + std::to_string(now) + "-" + std::to_string(getpid());
}

Json::Value number(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

} // namespace

LoadMeter::LoadMeter(std::uint32_t slots, std::uint32_t coldSlots, std::uint64_t warmAfter)
    : m_slots(slots)
    , m_coldSlots(coldSlots)
    , m_warmAfter(warmAfter)
    , m_bootId(newBootId())
{
}

RunningWork LoadMeter::begin(const std::string &workspace)
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
    m_runningSince.emplace(now, workspace);
    return {workspace, now};
}

void LoadMeter::end(const RunningWork &work, bool isCompleted)
{
    --m_running;
    if (isCompleted)
        ++m_completed;
    auto &load = m_workspaces[work.workspace];
    --load.running;
    const double seconds = toSeconds(SystemClock().now() - work.since);
    load.busySeconds += seconds;
    m_busySeconds += seconds;
    auto [first, last] = m_runningSince.equal_range(work.since);
    const auto mine
        = std::find_if(first, last, [&](const auto &e) { return e.second == work.workspace; });
    if (mine != last)
        m_runningSince.erase(mine);
}

Json::Value LoadMeter::load() const
{
    Json::Value value;
    value["bootId"] = m_bootId;
    value["running"] = m_running;
    value["completed"] = number(m_completed);
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
    value["started"] = number(m_started);
    value["overloads"] = number(m_overloads);
    value["cancels"] = number(m_cancels);
    value["overSlots"] = number(m_overSlots);
    const auto now = SystemClock().now();
    std::map<std::string, double> open;
    double openSeconds = 0;
    for (const auto &[since, workspace] : m_runningSince) {
        open[workspace] += toSeconds(now - since);
        openSeconds += toSeconds(now - since);
    }
    value["busySeconds"] = m_busySeconds + openSeconds;
    auto &workspaces = value["workspaces"] = Json::Value(Json::objectValue);
    for (const auto &[name, load] : m_workspaces) {
        workspaces[name]["started"] = number(load.started);
        workspaces[name]["running"] = load.running;
        workspaces[name]["busySeconds"] = load.busySeconds + open[name];
    }
    return value;
}

} // namespace berylridge::standin
