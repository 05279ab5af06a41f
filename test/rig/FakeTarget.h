// A simulated target. It accepts few concurrent requests after a boot, crashes when it receives
// more, and reports each execution to the journal, which checks verdicts and at-most-once
// execution.
#pragma once

#include "FakeNetwork.h"
#include "Journal.h"

#include "berylridge/Config/Documents.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylridge::rig {

/// A request as a target receives it, with its cost, which no router knows.
struct TargetRequest
{
    CallerAttempt *callerAttempt = nullptr;
    double cost = 1;        ///< Slot seconds of the execution; less if a stream is resumed.
    double headAfter = 0.1; ///< Seconds until the response head.
};

/// Receives the response of a target. Each function is called without network delay; the node that
/// provides the functions adds it.
struct ResponseSink
{
    std::function<void(const std::string &bootId)> head;
    std::function<void(const std::string &bootId)> done;
    std::function<void()> reset;
};

class FakeTarget
{
public:
    FakeTarget(EventQueue &queue, Journal &journal, HostId host, TargetSpec spec,
               const ServiceDocument &service);

    const TargetSpec &spec() const { return m_spec; }
    const ServiceId &service() const { return m_service; }
    HostId host() const { return m_host; }
    bool isUp() const { return m_isUp; }
    const std::string &bootId() const { return m_bootId; }
    std::size_t running() const { return m_running.size(); }
    /// Returns the number of concurrent requests that the target accepts in its current state.
    std::uint32_t concurrencyLimit() const;
    std::uint32_t slots() const { return m_slots; }
    std::size_t peakRunning() const { return m_peakRunning; }

    /// Starts an execution. Returns its id for cancel() and isStreaming().
    std::uint64_t receive(const TargetRequest &targetRequest, ResponseSink responseSink);
    void cancel(std::uint64_t executionId);
    bool isStreaming(std::uint64_t executionId) const;

    /// Resets all executions. The target is down for a while and then cold, with a new boot id.
    void crash(Duration downtime);
    /// Keeps the current executions running without ever completing them.
    void hang();

    /// Adds the costs of the current executions to the sums of their workspaces.
    void addRunningCosts(std::vector<double> &costs) const;

    struct Load
    {
        std::string bootId;
        std::uint32_t running = 0;
        std::uint64_t completed = 0;
        TimePoint sampledAt {};
    };
    /// Returns the load as of the last sampleLoad().
    const Load &load() const { return m_load; }
    void sampleLoad();

private:
    struct Execution
    {
        TargetRequest targetRequest;
        ResponseSink responseSink;
        TimePoint since {};
        bool isHung = false;
    };

    void finish(std::uint64_t executionId);
    std::string describeRunning() const;
    void boot();

    EventQueue &m_queue;
    Journal &m_journal;
    HostId m_host;
    TargetSpec m_spec;
    ServiceId m_service;
    std::uint32_t m_slots;
    std::uint32_t m_coldSlots;
    std::uint32_t m_warmAfter;
    bool m_isUp = true;

    std::uint32_t m_bootCount = 0;
    std::string m_bootId;
    std::uint64_t m_completed = 0;
    std::uint64_t m_nextExecutionId = 1;
    std::map<std::uint64_t, Execution> m_running;
    std::size_t m_peakRunning = 0;
    Load m_load;
};

} // namespace berylridge::rig
