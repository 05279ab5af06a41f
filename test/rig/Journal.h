// The record of a simulation: the requests and outcomes of callers, the executions at targets, and
// each violation of an invariant that follows from comparing the two.
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

/// How a caller's attempt ended.
enum class AttemptOutcome : std::uint8_t {
    Pending,
    Answered,     ///< The caller received the complete response.
    NotRun,       ///< The router refused the request with the verdict not-run.
    MayHaveRun,   ///< The router refused the request with the verdict may-have-run.
    Truncated,    ///< The response ended early, visibly for the caller.
    NodeLost,     ///< The router process terminated.
    CallerClosed, ///< The caller closed its connection.
};

struct CallerRequest;

/// One attempt of a caller to send its request, through one router.
struct CallerAttempt
{
    CallerRequest *request = nullptr;
    std::string id;
    TimePoint sentAt {};
    std::size_t node = 0;
    AttemptOutcome outcome = AttemptOutcome::Pending;
    TimePoint endedAt {};
    std::string problemType; ///< Problem type of the refusal.
    std::uint32_t executions = 0;
    std::uint32_t running = 0; ///< Current executions.
    std::optional<TimePoint> startedAt;
};

/// A caller's request. With an idempotency key, all its attempts belong to one operation.
struct CallerRequest
{
    std::size_t workspace = 0;
    std::size_t service = 0;
    std::string method;
    std::string path;
    std::optional<std::string> key;
    bool isIdempotent = true;
    bool isQueryOfDeath = false;
    double cost = 1; ///< Slot seconds.
    std::uint64_t bodyHash = 0;
    std::uint32_t crashes = 0;
    std::vector<std::unique_ptr<CallerAttempt>> attempts;

    std::uint32_t executions() const;
};

/// Current numbers of requests of one workspace at one service.
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
    CallerAttempt &beginAttempt(CallerRequest &request, std::size_t node);
    void endAttempt(CallerAttempt &callerAttempt, AttemptOutcome outcome,
                    const std::string &problemType = {});
    void onExecutionStarted(CallerAttempt &callerAttempt, const TargetId &target);
    void onExecutionEnded(CallerAttempt &callerAttempt);
    void onTargetCrashed(CallerRequest &request);
    void checkStoredResponse(const CallerAttempt &callerAttempt, const std::string &body);

    /// Records that the fleet was partitioned. Both sides may then have to detect a query of death
    /// independently, so more crashes are allowed for the rest of the run.
    void setPartitioned(bool isPartitioned)
    {
        m_wasPartitioned = m_wasPartitioned || isPartitioned;
    }
    /// Records the violation of an invariant. Drops it after the first 20.
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

/// Returns a readable list of the attempts of a request.
std::string formatHistory(const CallerRequest &request);

/// Returns the body of the response to a request, which routers store for its key.
std::string responseText(const CallerRequest &request);

} // namespace berylridge::rig
