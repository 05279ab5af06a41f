#include "FakeTarget.h"

#include <algorithm>

namespace berylridge::rig {

FakeTarget::FakeTarget(EventQueue &queue, Journal &journal, PlaceId place, TargetSpec spec,
                       const ServiceDocument &service)
    : m_queue(queue)
    , m_journal(journal)
    , m_place(place)
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
    m_bootId = m_spec.target.str() + "-boot-" + std::to_string(++m_boots);
    refreshLoad();
}

/// The strictest reading of the document: coldSlots until warmAfter answers, then all slots.
std::uint32_t FakeTarget::bearable() const
{
    return m_completed < m_warmAfter ? m_coldSlots : m_slots;
}

std::uint64_t FakeTarget::receive(const WorkOrder &order, AnswerSink sink)
{
    const std::uint64_t number = m_nextWork++;
    m_journal.executed(*order.callerTry, m_spec.target);
    m_running.emplace(number, Work {order, std::move(sink), m_queue.now()});
    // A warm target gets slower under more, and doesn't fall over; three times its slots is more
    // than two owners.
    const bool isCold = m_completed < m_warmAfter;
    m_largestLoad = std::max(m_largestLoad, m_running.size());
    if (m_running.size() > (isCold ? m_coldSlots : 3 * m_slots)) {
        m_journal.fail("cold target",
                       m_spec.target.str() + " bears " + std::to_string(bearable()) + " and got "
                           + std::to_string(m_running.size()) + " after "
                           + std::to_string(m_completed) + " answers of " + m_bootId
                           + runningText());
        if (isCold) {
            crash(std::chrono::seconds(2));
            return number;
        }
    }
    if (order.callerTry->request->isDeadly) {
        m_queue.after(std::chrono::milliseconds(50), [this, number] {
            if (!m_running.contains(number))
                return;
            m_journal.crashed(*m_running.at(number).order.callerTry->request);
            crash(std::chrono::seconds(1));
        });
        return number;
    }
    m_queue.after(fromSeconds(std::min(order.headAfter, order.cost)), [this, number] {
        const auto found = m_running.find(number);
        if (found != m_running.end() && !found->second.isHung)
            found->second.sink.head(m_bootId);
    });
    m_queue.after(fromSeconds(order.cost), [this, number] { finish(number); });
    return number;
}

/// Who put what runs here, and when.
std::string FakeTarget::runningText() const
{
    std::string text;
    for (const auto &[number, work] : m_running) {
        text += "; " + work.order.callerTry->id + " of node "
            + std::to_string(work.order.callerTry->node) + " since "
            + std::to_string(toSeconds(work.since.time_since_epoch())) + " s";
    }
    return text;
}

void FakeTarget::finish(std::uint64_t work)
{
    const auto found = m_running.find(work);
    if (found == m_running.end() || found->second.isHung)
        return;
    Work ended = std::move(found->second);
    m_running.erase(found);
    ++m_completed;
    m_journal.released(*ended.order.callerTry);
    ended.sink.done(m_bootId);
}

void FakeTarget::cancel(std::uint64_t work)
{
    const auto found = m_running.find(work);
    if (found == m_running.end())
        return;
    m_journal.released(*found->second.order.callerTry);
    m_running.erase(found);
}

bool FakeTarget::isStreaming(std::uint64_t work) const
{
    const auto found = m_running.find(work);
    return found != m_running.end() && !found->second.isHung;
}

void FakeTarget::crash(Duration downtime)
{
    auto lost = std::move(m_running);
    m_running.clear();
    m_isUp = false;
    for (auto &[number, work] : lost) {
        m_journal.released(*work.order.callerTry);
        work.sink.reset();
    }
    m_queue.after(downtime, [this, boots = m_boots] {
        if (!m_isUp && m_boots == boots)
            boot();
    });
}

void FakeTarget::hang()
{
    for (auto &[number, work] : m_running)
        work.isHung = true;
}

void FakeTarget::addCosts(std::vector<double> &costs) const
{
    for (const auto &[number, work] : m_running)
        costs[work.order.callerTry->request->workspace] += work.order.cost;
}

void FakeTarget::refreshLoad()
{
    m_load = {m_bootId, static_cast<std::uint32_t>(m_running.size()), m_completed, m_queue.now()};
}

} // namespace berylridge::rig
