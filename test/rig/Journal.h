// The truth of a test run: description callers sent and were told, description targets
// onExecutionStarted, and every broken invariant that shows from these two.
#pragma once

#include "EventQueue.h"

#include "berylridge/Support/Id.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylridge::rig {

/// How a caller's try ended.
enum class AttemptOutcome : std::uint8_t {
    Pending,
    Answered,     ///< A whole answer.
    NotRun,       ///< Refused with that verdict.
    MayHaveRun,   ///< Refused with that verdict.
    Truncated,    ///< The answer broke off so that the caller sees it.
    NodeLost,     ///< The router died.
    CallerClosed, ///< The caller closed its connection.
};

struct CallerRequest;

/// One sending of a request to one router.
struct CallerAttempt
{
    CallerRequest *request = nullptr;
    std::string id;
    TimePoint sentAt {};
    std::size_t node = 0;
    AttemptOutcome outcome = AttemptOutcome::Pending;
    TimePoint endedAt {};
    std::string problemType; ///< Type of the refusal.
    std::uint32_t executions = 0;
    std::uint32_t running = 0; ///< Executing now.
    std::optional<TimePoint> startedAt;
};

/// What a caller wants done; with an idempotency key all its attempts name one operation.
struct CallerRequest
{
    std::size_t workspace = 0;
    std::size_t service = 0;
    std::string method;
    std::string path;
    std::optional<std::string> key;
    bool isIdempotent = true;
    bool isQueryOfDeath = false;
    double cost = 1;
    std::uint64_t bodyHash = 0;
    std::uint32_t crashes = 0;
    std::vector<std::unique_ptr<CallerAttempt>> attempts;

    std::uint32_t executions() const;
};

/// Requests of one workspace sentAt one service, now.
struct FlowCount
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
};

class Journal
{
public:
    Journal(EventQueue &queue, std::size_t services, std::size_t workspaces);

    CallerRequest &add(CallerRequest request);
    CallerAttempt &begin(CallerRequest &request, std::size_t node);
    void end(CallerAttempt &callerAttempt, AttemptOutcome outcome,
             const std::string &problemType = {});
    void onExecutionStarted(CallerAttempt &callerAttempt, const TargetId &target);
    void onExecutionEnded(CallerAttempt &callerAttempt);
    void onTargetCrashed(CallerRequest &request);
    void checkStoredResponse(const CallerAttempt &callerAttempt, const std::string &body);

    /// Set while the fleet is split: each side may have to learn by itself.
    void setPartitioned(bool isPartitioned)
    {
        m_wasPartitioned = m_wasPartitioned || isPartitioned;
    }
    /// Records a broken invariant.
    void recordViolation(const std::string &invariant, const std::string &description);
    const std::vector<std::string> &violations() const { return m_violations; }

    const FlowCount &flow(std::size_t service, std::size_t workspace) const
    {
        return m_flows[service][workspace];
    }
    const std::vector<std::unique_ptr<CallerRequest>> &requests() const { return m_requests; }
    std::size_t count(AttemptOutcome outcome) const;
    std::size_t openAttempts() const { return m_openAttempts; }

private:
    FlowCount &flowFor(const CallerAttempt &callerAttempt);
    void checkNotRun(const CallerAttempt &callerAttempt);

    EventQueue &m_queue;
    std::vector<std::unique_ptr<CallerRequest>> m_requests;
    std::vector<std::vector<FlowCount>> m_flows;
    std::vector<std::string> m_violations;
    std::map<AttemptOutcome, std::size_t> m_outcomeCounts;
    std::size_t m_openAttempts = 0;
    bool m_wasPartitioned = false;
    std::size_t m_nextAttemptNumber = 1;
};

/// The attempts of a request, for people.
std::string formatHistory(const CallerRequest &request);

/// What a kept answer of an operation says.
std::string responseText(const CallerRequest &request);

} // namespace berylridge::rig
