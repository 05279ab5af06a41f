// Counts the requests that a target stand-in runs. Tests check limits, utilisation and shares
// against these counts.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <json/json.h>
#include <map>
#include <string>

namespace berylridge::standin {

/// One request that the target executes.
struct RunningRequest
{
    std::string workspace;
    TimePoint startedAt;
};

/// Load of one workspace at one target.
struct WorkspaceLoad
{
    std::uint64_t started = 0;
    std::uint32_t running = 0;
    double busySeconds = 0; ///< Of ended requests; toJson() adds the running ones.
};

class LoadMeter
{
public:
    /// The target counts as cold until it has completed warmAfter responses.
    LoadMeter(std::uint32_t slots, std::uint32_t coldSlots, std::uint64_t warmAfter);

    bool isCold() const { return m_completed < m_warmAfter; }
    /// Returns true if all slots that the target has in its present state are in use.
    bool isFull() const { return m_running >= (isCold() ? m_coldSlots : m_slots); }

    RunningRequest begin(const std::string &workspace);
    void end(const RunningRequest &runningRequest, bool isCompleted);
    void countOverload() { ++m_overloads; }
    void countCancel() { ++m_cancels; }

    const std::string &bootId() const { return m_bootId; }
    /// Returns the body of GET /load.
    Json::Value load() const;
    /// Returns the body of GET /stats.
    Json::Value toJson() const;

private:
    std::uint32_t m_slots;
    std::uint32_t m_coldSlots;
    std::uint64_t m_warmAfter;
    std::string m_bootId;
    std::map<std::string, WorkspaceLoad> m_workspaces;
    std::multimap<TimePoint, std::string> m_startTimes;
    std::uint32_t m_running = 0;
    std::uint32_t m_maxRunning = 0;
    std::uint32_t m_maxRunningCold = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_overloads = 0;
    std::uint64_t m_cancels = 0;
    std::uint64_t m_overSlots = 0; ///< Requests that started while it was warm and full.
    double m_busySeconds = 0;
};

} // namespace berylridge::standin
