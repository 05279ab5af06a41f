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

/// Applies the strictest interpretation of the service document: coldSlots until warmAfter
/// responses are completed, then all slots.
std::uint32_t FakeTarget::concurrencyLimit() const
{
    return m_completed < m_warmAfter ? m_coldSlots : m_slots;
}

std::uint64_t FakeTarget::receive(const TargetRequest &targetRequest, ResponseSink responseSink)
{
    const std::uint64_t executionId = m_nextExecutionId++;
    m_journal.onExecutionStarted(*targetRequest.callerAttempt, m_spec.target);
    m_running.emplace(executionId,
                      Execution {targetRequest, std::move(responseSink), m_queue.now()});
    // A cold target crashes above its limit. A warm target would only get slower, so it reports a
    // violation above three times its slots, which is more than two owners of its pool can grant.
    const bool isCold = m_completed < m_warmAfter;
    m_peakRunning = std::max(m_peakRunning, m_running.size());
    if (m_running.size() > (isCold ? m_coldSlots : 3 * m_slots)) {
        m_journal.recordViolation(
            "cold target",
            m_spec.target.str() + " accepts " + std::to_string(concurrencyLimit())
                + " requests and received " + std::to_string(m_running.size()) + " after "
                + std::to_string(m_completed) + " responses of " + m_bootId + describeRunning());
        if (isCold) {
            crash(std::chrono::seconds(2));
            return executionId;
        }
    }
    if (targetRequest.callerAttempt->request->isQueryOfDeath) {
        m_queue.scheduleAfter(std::chrono::milliseconds(50), [this, executionId] {
            if (!m_running.contains(executionId))
                return;
            m_journal.onTargetCrashed(
                *m_running.at(executionId).targetRequest.callerAttempt->request);
            crash(std::chrono::seconds(1));
        });
        return executionId;
    }
    m_queue.scheduleAfter(fromSeconds(std::min(targetRequest.headAfter, targetRequest.cost)),
                          [this, executionId] {
                              const auto found = m_running.find(executionId);
                              if (found != m_running.end() && !found->second.isHung)
                                  found->second.responseSink.head(m_bootId);
                          });
    m_queue.scheduleAfter(fromSeconds(targetRequest.cost),
                          [this, executionId] { finish(executionId); });
    return executionId;
}

/// Lists the current executions with the nodes that sent them and their start times.
std::string FakeTarget::describeRunning() const
{
    std::string text;
    for (const auto &[executionId, execution] : m_running) {
        text += "; " + execution.targetRequest.callerAttempt->id + " of node "
            + std::to_string(execution.targetRequest.callerAttempt->node) + " since "
            + std::to_string(toSeconds(execution.since.time_since_epoch())) + " s";
    }
    return text;
}

void FakeTarget::finish(std::uint64_t executionId)
{
    const auto found = m_running.find(executionId);
    if (found == m_running.end() || found->second.isHung)
        return;
    Execution finished = std::move(found->second);
    m_running.erase(found);
    ++m_completed;
    m_journal.onExecutionEnded(*finished.targetRequest.callerAttempt);
    finished.responseSink.done(m_bootId);
}

void FakeTarget::cancel(std::uint64_t executionId)
{
    const auto found = m_running.find(executionId);
    if (found == m_running.end())
        return;
    m_journal.onExecutionEnded(*found->second.targetRequest.callerAttempt);
    m_running.erase(found);
}

bool FakeTarget::isStreaming(std::uint64_t executionId) const
{
    const auto found = m_running.find(executionId);
    return found != m_running.end() && !found->second.isHung;
}

void FakeTarget::crash(Duration downtime)
{
    auto interrupted = std::move(m_running);
    m_running.clear();
    m_isUp = false;
    for (auto &[executionId, execution] : interrupted) {
        m_journal.onExecutionEnded(*execution.targetRequest.callerAttempt);
        execution.responseSink.reset();
    }
    m_queue.scheduleAfter(downtime, [this, bootCount = m_bootCount] {
        if (!m_isUp && m_bootCount == bootCount)
            boot();
    });
}

void FakeTarget::hang()
{
    for (auto &[executionId, execution] : m_running)
        execution.isHung = true;
}

void FakeTarget::addRunningCosts(std::vector<double> &costs) const
{
    for (const auto &[executionId, execution] : m_running)
        costs[execution.targetRequest.callerAttempt->request->workspace]
            += execution.targetRequest.cost;
}

void FakeTarget::sampleLoad()
{
    m_load = {m_bootId, static_cast<std::uint32_t>(m_running.size()), m_completed, m_queue.now()};
}

} // namespace berylridge::rig
