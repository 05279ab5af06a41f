// A target of a test run: bears few requests after a start, falls over when it gets more, and keeps
// count of what it onExecutionStarted. It is the judge of verdicts and of at-most-once.
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

/// What a target is sent, with the truth about it that no router knows.
struct TargetRequest
{
    CallerAttempt *callerAttempt = nullptr;
    double cost = 1;        ///< Slot seconds that it takes; less where a stream is resumed.
    double headAfter = 0.1; ///< Seconds until the answer head.
};

/// Where the answer goes. Each function is called at the target's own instant; the node adds delay.
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
    /// Requests that it bears now.
    std::uint32_t concurrencyLimit() const;
    std::uint32_t slots() const { return m_slots; }
    std::size_t peakRunning() const { return m_peakRunning; }

    /// Begins to execute. Returns a number for cancel() and isStreaming().
    std::uint64_t receive(const TargetRequest &targetRequest, ResponseSink responseSink);
    void cancel(std::uint64_t work);
    bool isStreaming(std::uint64_t work) const;

    /// Loses everything, is down for a while and comes back cold under a new boot id.
    void crash(Duration downtime);
    /// Executes on but never answers what runs now.
    void hang();

    /// Adds the cost of what runs here to each workspace's sum.
    void addRunningCosts(std::vector<double> &costs) const;

    struct Load
    {
        std::string bootId;
        std::uint32_t running = 0;
        std::uint64_t completed = 0;
        TimePoint at {};
    };
    /// The load as it was some time ago.
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

    void finish(std::uint64_t work);
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
