#include "Session.h"

#include "berylridge/Net/Datagram.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace berylridge {

namespace {

class SessionWriter
{
public:
    SessionWriter(const Trace &trace, bool isVerbose, std::ostream &out)
        : m_start(trace.start)
        , m_isVerbose(isVerbose)
        , m_out(out)
    {
    }

    void write(const Actions &actions, TimePoint now)
    {
        m_now = now;
        for (const Action &action : actions)
            std::visit([this](const auto &value) { write(value); }, action);
    }

    OutcomeCounts outcome;

private:
    std::ostream &beginLine()
    {
        return m_out << std::fixed << std::setprecision(6) << std::setw(12)
                     << toSeconds(m_now - m_start) << "  ";
    }

    void write(const Dispatch &action)
    {
        ++outcome["dispatched"];
        beginLine() << "dispatch " << action.handle << '/' << action.attempt << " to "
                    << action.target << (action.isResumed ? " resumed" : "") << '\n';
    }
    void write(const ContinueAttempt &action)
    {
        beginLine() << "continue " << action.handle << '/' << action.attempt << '\n';
    }
    void write(const AbortAttempt &action)
    {
        beginLine() << "abort " << action.handle << '/' << action.attempt << '\n';
    }
    void write(const Refuse &action)
    {
        ++outcome["refused-" + std::string(verdictName(action.verdict))];
        beginLine() << "refuse " << action.handle << ' ' << action.status << ' ' << action.type
                    << ' ' << verdictName(action.verdict) << '\n';
    }
    void write(const SendStoredResponse &action)
    {
        ++outcome["kept"];
        beginLine() << "answer kept " << action.handle << ' ' << action.status << '\n';
    }
    void write(const RelayHeldResponse &action)
    {
        ++outcome["passed"];
        beginLine() << "pass answer " << action.handle << '/' << action.attempt << '\n';
    }
    void write(const SendToNode &action)
    {
        if (m_isVerbose)
            beginLine() << "send " << action.to << ' '
                        << peerMessageKindName(peerMessageKind(action.message)) << '\n';
    }
    void write(const ProbeNode &action)
    {
        if (m_isVerbose)
            beginLine() << "probe " << action.node << '\n';
    }
    void write(const PollTarget &action)
    {
        if (m_isVerbose)
            beginLine() << "poll " << action.target << '\n';
    }
    void write(const WatchPlatform &action)
    {
        beginLine() << "watch platform " << (action.isOn ? "on" : "off") << '\n';
    }
    void write(const ReadPlatformRevision &action)
    {
        beginLine() << "read platform revision " << action.ticket << '\n';
    }
    void write(const Readiness &action)
    {
        beginLine() << (action.isReady ? "ready" : "not ready") << '\n';
    }
    void write(const SetCallerLimits &) { beginLine() << "set caller limits\n"; }
    void write(const Stopped &) { beginLine() << "stopped\n"; }
    void write(const Log &action)
    {
        beginLine() << "event " << static_cast<unsigned>(action.record.id) << ' '
                    << logEventInfo(action.record.id).name << ": " << action.record.detail << '\n';
    }
    void write(const Audit &action)
    {
        beginLine() << "audit " << auditKindName(action.entry.kind) << ' ' << action.entry.what
                    << " from '" << action.entry.from << "' to '" << action.entry.to << "'\n";
    }

    TimePoint m_start;
    TimePoint m_now {};
    bool m_isVerbose;
    std::ostream &m_out;
};

} // namespace

Expected<OutcomeCounts> replayTrace(const Trace &trace, const std::string &chartDirectory,
                                    bool isVerbose, std::ostream &out)
{
    CoreOptions options = trace.options;
    options.chartDirectory = chartDirectory;
    auto core = RouterCore::create(options, trace.start, trace.startWall);
    if (!core)
        return Reason {core.failureReason()};
    SessionWriter writer(trace, isVerbose, out);
    const auto feed = [&](const Event &event, TimePoint at, WallTime wall) {
        Actions actions;
        (*core)->handle(event, at, wall, actions);
        writer.write(actions, at);
    };
    WallTime wall = trace.startWall;
    TimePoint last = trace.start;
    for (const TraceEvent &entry : trace.events) {
        for (TimePoint due = (*core)->nextTimer(); due < entry.at; due = (*core)->nextTimer()) {
            last = std::max(last, due);
            feed(TimerDue {}, last, wall);
        }
        last = entry.at;
        wall = entry.wall;
        if (std::holds_alternative<AttemptDone>(entry.event))
            ++writer.outcome["answered"];
        feed(entry.event, entry.at, entry.wall);
    }
    return writer.outcome;
}

} // namespace berylridge
