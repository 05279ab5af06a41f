// Counts what a target stand-in runs: the judge of limits, utilisation and shares in tests.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <json/json.h>
#include <map>
#include <string>

namespace berylridge::standin {

/// One request that runs at the target.
struct RunningRequest
{
    std::string workspace;
    TimePoint startedAt;
};

/// Of one workspace at one target.
struct WorkspaceLoad
{
    std::uint64_t started = 0;
    std::uint32_t running = 0;
    double busySeconds = 0; ///< Of what ended; toJson() adds what runs.
};

class LoadMeter
{
public:
    /// A target counts as cold until it has completed warmAfter answers.
    LoadMeter(std::uint32_t slots, std::uint32_t coldSlots, std::uint64_t warmAfter);

    bool isCold() const { return m_completed < m_warmAfter; }
    /// Whether one more request would be more than it can bear now.
    bool isFull() const { return m_running >= (isCold() ? m_coldSlots : m_slots); }

    RunningRequest begin(const std::string &workspace);
    void end(const RunningRequest &runningRequest, bool isCompleted);
    void countOverload() { ++m_overloads; }
    void countCancel() { ++m_cancels; }

    const std::string &bootId() const { return m_bootId; }
    /// As in GET /load.
    Json::Value load() const;
    /// As in GET /stats.
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
    std::uint64_t m_overSlots = 0; ///< Started while warm and full.
    double m_busySeconds = 0;
};

} // namespace berylridge::standin
