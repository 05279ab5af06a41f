// The truth of a test run: what callers sent and were told, what targets executed, and every broken
// promise that shows from these two.
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
enum class Ending : std::uint8_t {
    Open,
    Answered,   ///< A whole answer.
    NotRun,     ///< Refused with that verdict.
    MayHaveRun, ///< Refused with that verdict.
    Cut,        ///< The answer broke off so that the caller sees it.
    Lost,       ///< The router died.
    GivenUp,    ///< The caller closed its connection.
};

struct CallerRequest;

/// One sending of a request to one router.
struct CallerTry
{
    CallerRequest *request = nullptr;
    std::string id;
    TimePoint at {};
    std::size_t node = 0;
    Ending ending = Ending::Open;
    TimePoint endedAt {};
    std::string problem; ///< Type of the refusal.
    std::uint32_t executions = 0;
    std::uint32_t running = 0; ///< Executing now.
    std::optional<TimePoint> startedAt;
};

/// What a caller wants done; with an idempotency key all its tries name one operation.
struct CallerRequest
{
    std::size_t workspace = 0;
    std::size_t service = 0;
    std::string method;
    std::string path;
    std::optional<std::string> key;
    bool isIdempotent = true;
    bool isDeadly = false;
    double cost = 1;
    std::uint64_t bodyHash = 0;
    std::uint32_t crashes = 0;
    std::vector<std::unique_ptr<CallerTry>> tries;

    std::uint32_t executions() const;
};

/// Requests of one workspace at one service, now.
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
    CallerTry &begin(CallerRequest &request, std::size_t node);
    void end(CallerTry &callerTry, Ending ending, const std::string &problem = {});
    void executed(CallerTry &callerTry, const TargetId &target);
    void released(CallerTry &callerTry);
    void crashed(CallerRequest &request);
    void checkKept(const CallerTry &callerTry, const std::string &body);

    /// Set while the fleet is split: each side may have to learn by itself.
    void setSplit(bool isSplit) { m_isSplit = m_isSplit || isSplit; }
    /// Records a broken promise.
    void fail(const std::string &promise, const std::string &what);
    const std::vector<std::string> &findings() const { return m_findings; }

    const FlowCount &flow(std::size_t service, std::size_t workspace) const
    {
        return m_flows[service][workspace];
    }
    const std::vector<std::unique_ptr<CallerRequest>> &requests() const { return m_requests; }
    std::size_t count(Ending ending) const;
    std::size_t openTries() const { return m_open; }

private:
    FlowCount &flowOf(const CallerTry &callerTry);
    void checkNotRun(const CallerTry &callerTry);

    EventQueue &m_queue;
    std::vector<std::unique_ptr<CallerRequest>> m_requests;
    std::vector<std::vector<FlowCount>> m_flows;
    std::vector<std::string> m_findings;
    std::map<Ending, std::size_t> m_endings;
    std::size_t m_open = 0;
    bool m_isSplit = false;
    std::size_t m_nextTry = 1;
};

/// The tries of a request, for people.
std::string historyOf(const CallerRequest &request);

/// What a kept answer of an operation says.
std::string answerText(const CallerRequest &request);

} // namespace berylridge::rig
