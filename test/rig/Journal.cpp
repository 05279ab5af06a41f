#include "Journal.h"

#include <sstream>

namespace berylridge::rig {

namespace {

constexpr std::size_t maxViolations = 20;
/// The number of targets that a query of death may crash, without and with a partition of the
/// fleet.
constexpr std::uint32_t maxCrashes = 2;
constexpr std::uint32_t maxCrashesWhenPartitioned = 6;

} // namespace

std::uint32_t CallerRequest::executions() const
{
    std::uint32_t sum = 0;
    for (const auto &callerAttempt : attempts)
        sum += callerAttempt->executions;
    return sum;
}

std::string formatHistory(const CallerRequest &request)
{
    std::ostringstream text;
    for (const auto &callerAttempt : request.attempts) {
        text << "\n    " << callerAttempt->id << " to node " << callerAttempt->node << " at "
             << toSeconds(callerAttempt->sentAt.time_since_epoch()) << " s, "
             << callerAttempt->executions << " executions";
        if (callerAttempt->startedAt)
            text << " from " << toSeconds(callerAttempt->startedAt->time_since_epoch()) << " s";
        text << ", outcome " << static_cast<int>(callerAttempt->outcome) << ' '
             << callerAttempt->problemType << " at "
             << toSeconds(callerAttempt->endedAt.time_since_epoch()) << " s";
    }
    return text.str();
}

std::string responseText(const CallerRequest &request)
{
    return "answer to " + request.key.value_or("a request without key");
}

Journal::Journal(EventQueue &queue, std::size_t services, std::size_t workspaces)
    : m_queue(queue)
    , m_flows(services, std::vector<FlowCount>(workspaces))
{
}

CallerRequest &Journal::add(CallerRequest request)
{
    m_requests.push_back(std::make_unique<CallerRequest>(std::move(request)));
    return *m_requests.back();
}

CallerAttempt &Journal::beginAttempt(CallerRequest &request, std::size_t node)
{
    request.attempts.push_back(std::make_unique<CallerAttempt>());
    CallerAttempt &callerAttempt = *request.attempts.back();
    callerAttempt.request = &request;
    callerAttempt.id = "try-" + std::to_string(m_nextAttemptNumber++);
    callerAttempt.sentAt = m_queue.now();
    callerAttempt.node = node;
    ++flowFor(callerAttempt).waiting;
    ++m_openAttempts;
    return callerAttempt;
}

void Journal::endAttempt(CallerAttempt &callerAttempt, AttemptOutcome outcome,
                         const std::string &problemType)
{
    if (callerAttempt.outcome != AttemptOutcome::Pending) {
        recordViolation("own answer",
                        callerAttempt.id + " was answered twice (" + problemType + ")");
        return;
    }
    callerAttempt.outcome = outcome;
    callerAttempt.endedAt = m_queue.now();
    callerAttempt.problemType = problemType;
    if (callerAttempt.running == 0)
        --flowFor(callerAttempt).waiting;
    ++m_outcomeCounts[outcome];
    --m_openAttempts;
    if (outcome == AttemptOutcome::NotRun)
        checkNotRun(callerAttempt);
    if (outcome == AttemptOutcome::Answered && callerAttempt.request->executions() == 0)
        recordViolation("own answer", callerAttempt.id + " was answered but no target ran it");
}

/// Checks a verdict of not-run. With an idempotency key it covers the whole operation, so no
/// earlier attempt may have been executed.
void Journal::checkNotRun(const CallerAttempt &callerAttempt)
{
    const CallerRequest &request = *callerAttempt.request;
    const std::uint32_t executionCount
        = request.key ? request.executions() : callerAttempt.executions;
    if (executionCount > 0) {
        recordViolation("not run",
                        callerAttempt.id + " received not-run after it ran ("
                            + callerAttempt.problemType + ")");
    }
}

void Journal::onExecutionStarted(CallerAttempt &callerAttempt, const TargetId &target)
{
    CallerRequest &request = *callerAttempt.request;
    ++callerAttempt.executions;
    if (callerAttempt.outcome == AttemptOutcome::Pending && ++callerAttempt.running == 1)
        --flowFor(callerAttempt).waiting;
    else if (callerAttempt.outcome != AttemptOutcome::Pending)
        ++callerAttempt.running;
    ++flowFor(callerAttempt).running;
    if (!callerAttempt.startedAt)
        callerAttempt.startedAt = m_queue.now();

    const std::uint32_t executionCount
        = request.key ? request.executions() : callerAttempt.executions;
    if (!request.isIdempotent && executionCount > 1) {
        recordViolation("at most once",
                        callerAttempt.id + " is execution " + std::to_string(executionCount)
                            + " of " + request.key.value_or("a request without key") + " at "
                            + target.str());
    }
    for (const auto &other : request.attempts) {
        const bool isSameOperation = request.key || other.get() == &callerAttempt;
        if (isSameOperation && other->outcome == AttemptOutcome::NotRun
            && other->endedAt >= callerAttempt.sentAt) {
            recordViolation("not run",
                            callerAttempt.id + " ran at " + target.str() + " after " + other->id
                                + " received not-run (" + other->problemType + ")");
        }
    }
}

void Journal::onExecutionEnded(CallerAttempt &callerAttempt)
{
    --flowFor(callerAttempt).running;
    if (--callerAttempt.running == 0 && callerAttempt.outcome == AttemptOutcome::Pending)
        ++flowFor(callerAttempt).waiting;
}

void Journal::onTargetCrashed(CallerRequest &request)
{
    ++request.crashes;
    if (request.crashes > (m_wasPartitioned ? maxCrashesWhenPartitioned : maxCrashes)) {
        recordViolation("query of death",
                        "a request crashed a target, number of its crashes: "
                            + std::to_string(request.crashes) + formatHistory(request));
    }
}

void Journal::checkStoredResponse(const CallerAttempt &callerAttempt, const std::string &body)
{
    if (body != responseText(*callerAttempt.request)) {
        recordViolation("own answer",
                        callerAttempt.id
                            + " received the response that was kept for another operation");
    }
}

void Journal::recordViolation(const std::string &invariant, const std::string &description)
{
    if (m_violations.size() >= maxViolations)
        return;
    std::ostringstream line;
    line << toSeconds(m_queue.now().time_since_epoch()) << " s: " << invariant << ": "
         << description;
    m_violations.push_back(line.str());
}

std::size_t Journal::count(AttemptOutcome outcome) const
{
    const auto found = m_outcomeCounts.find(outcome);
    return found == m_outcomeCounts.end() ? 0 : found->second;
}

FlowCount &Journal::flowFor(const CallerAttempt &callerAttempt)
{
    return m_flows[callerAttempt.request->service][callerAttempt.request->workspace];
}

} // namespace berylridge::rig
