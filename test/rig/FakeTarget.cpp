#include "FakeTarget.h"

#include <algorithm>

namespace berylridge::rig {

FakeTarget::FakeTarget(EventQueue &queue, Journal &journal, HostId host, TargetSpec spec,
                       const ServiceDocument &service)
    : m_queue(queue)
    , m_journal(journal)
    , m_host(host)
    , m_spec(std::move(spec))
    , m_service(service.service)
    , m_slots(service.slots)
    , m_coldSlots(service.coldSlots)
    , m_warmAfter(service.warmAfter)
{
    boot();
}

void FakeTarget::boot()
{
    m_isUp = true;
    m_completed = 0;
    m_bootId = m_spec.target.str() + "-boot-" + std::to_string(++m_bootCount);
    sampleLoad();
}

/// The strictest reading of the document: coldSlots until warmAfter answers, then all slots.
std::uint32_t FakeTarget::concurrencyLimit() const
{
    return m_completed < m_warmAfter ? m_coldSlots : m_slots;
}

std::uint64_t FakeTarget::receive(const TargetRequest &targetRequest, ResponseSink responseSink)
{
    const std::uint64_t number = m_nextExecutionId++;
    m_journal.onExecutionStarted(*targetRequest.callerAttempt, m_spec.target);
    m_running.emplace(number, Execution {targetRequest, std::move(responseSink), m_queue.now()});
    // A warm target gets slower under more, and doesn't fall over; three times its slots is more
    // than two owners.
    const bool isCold = m_completed < m_warmAfter;
    m_peakRunning = std::max(m_peakRunning, m_running.size());
    if (m_running.size() > (isCold ? m_coldSlots : 3 * m_slots)) {
        m_journal.recordViolation(
            "cold target",
            m_spec.target.str() + " bears " + std::to_string(concurrencyLimit()) + " and got "
                + std::to_string(m_running.size()) + " after " + std::to_string(m_completed)
                + " answers of " + m_bootId + describeRunning());
        if (isCold) {
            crash(std::chrono::seconds(2));
            return number;
        }
    }
    if (targetRequest.callerAttempt->request->isQueryOfDeath) {
        m_queue.after(std::chrono::milliseconds(50), [this, number] {
            if (!m_running.contains(number))
                return;
            m_journal.onTargetCrashed(*m_running.at(number).targetRequest.callerAttempt->request);
            crash(std::chrono::seconds(1));
        });
        return number;
    }
    m_queue.after(fromSeconds(std::min(targetRequest.headAfter, targetRequest.cost)),
                  [this, number] {
                      const auto found = m_running.find(number);
                      if (found != m_running.end() && !found->second.isHung)
                          found->second.responseSink.head(m_bootId);
                  });
    m_queue.after(fromSeconds(targetRequest.cost), [this, number] { finish(number); });
    return number;
}

/// Who put what runs here, and when.
std::string FakeTarget::describeRunning() const
{
    std::string text;
    for (const auto &[number, work] : m_running) {
        text += "; " + work.targetRequest.callerAttempt->id + " of node "
            + std::to_string(work.targetRequest.callerAttempt->node) + " since "
            + std::to_string(toSeconds(work.since.time_since_epoch())) + " s";
    }
    return text;
}

void FakeTarget::finish(std::uint64_t work)
{
    const auto found = m_running.find(work);
    if (found == m_running.end() || found->second.isHung)
        return;
    Execution ended = std::move(found->second);
    m_running.erase(found);
    ++m_completed;
    m_journal.onExecutionEnded(*ended.targetRequest.callerAttempt);
    ended.responseSink.done(m_bootId);
}

void FakeTarget::cancel(std::uint64_t work)
{
    const auto found = m_running.find(work);
    if (found == m_running.end())
        return;
    m_journal.onExecutionEnded(*found->second.targetRequest.callerAttempt);
    m_running.erase(found);
}

bool FakeTarget::isStreaming(std::uint64_t work) const
{
    const auto found = m_running.find(work);
    return found != m_running.end() && !found->second.isHung;
}

void FakeTarget::crash(Duration downtime)
{
    auto interrupted = std::move(m_running);
    m_running.clear();
    m_isUp = false;
    for (auto &[number, work] : interrupted) {
        m_journal.onExecutionEnded(*work.targetRequest.callerAttempt);
        work.responseSink.reset();
    }
    m_queue.after(downtime, [this, bootCount = m_bootCount] {
        if (!m_isUp && m_bootCount == bootCount)
            boot();
    });
}

void FakeTarget::hang()
{
    for (auto &[number, work] : m_running)
        work.isHung = true;
}

void FakeTarget::addRunningCosts(std::vector<double> &costs) const
{
    for (const auto &[number, work] : m_running)
        costs[work.targetRequest.callerAttempt->request->workspace] += work.targetRequest.cost;
}

void FakeTarget::sampleLoad()
{
    m_load = {m_bootId, static_cast<std::uint32_t>(m_running.size()), m_completed, m_queue.now()};
}

} // namespace berylridge::rig
