// Runs a router process around a decision core: converts socket input into events for the core and
// carries out the core's actions on sockets.
#pragma once

#include "berylridge/Config/Settings.h"
#include "berylridge/Net/LogSink.h"
#include "berylridge/Net/Metrics.h"
#include "berylridge/Net/WireProtocol.h"
#include "berylridge/Router/Actions.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Time.h"

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace berylridge {

/// The interface of a decision core that the node uses.
template <typename T>
concept DecisionCore = requires(T &core, const T &constCore, const Event &event, TimePoint now,
                                WallTime wall, Actions &actions)
{
    core.handle(event, now, wall, actions);
    {
        constCore.nextTimer()
        } -> std::same_as<TimePoint>;
};

/// Type-erased reference to a decision core, which must outlive it.
struct CoreHandle
{
    std::function<void(const Event &, TimePoint, WallTime, Actions &)> handle;
    std::function<TimePoint()> nextTimer;

    template <DecisionCore T>
    static CoreHandle of(T &core)
    {
        return {[&core](const Event &event, TimePoint now, WallTime wall, Actions &actions) {
                    core.handle(event, now, wall, actions);
                },
                [&core] { return core.nextTimer(); }};
    }
};

/// Handles one JSON-RPC request of POST /rpc on the admin listener. Called on the control thread.
using RpcHandler = std::function<std::string(std::string_view request, bool isOperator)>;
/// Receives one entry of the audit trail. Called on the control thread.
using AuditHandler = std::function<void(const AuditEntry &entry)>;

class RouterNode
{
public:
    ~RouterNode();
    RouterNode(const RouterNode &) = delete;
    RouterNode &operator=(const RouterNode &) = delete;

    /// Serves until the core emits Stopped or stop() is called. The calling thread becomes the
    /// control thread.
    void run();

    /// Ends run() without waiting for requests. Thread-safe.
    void stop();

    /// Queues an event for the core, such as an operator's LeaveOrdered. Thread-safe.
    void post(Event event);

    /// Returns the control thread's context, for components that produce events of their own.
    asio::io_context &context();

    /// Handles an event and carries out its actions before it returns. Only for the control thread,
    /// for example in an RpcHandler.
    void handleNow(const Event &event);

    /// Return the addresses of the listeners, with the ports that the system chose if the settings
    /// give 0.
    Endpoint callers() const;
    Endpoint peers() const;
    Endpoint admin() const;

    const Metrics &metrics() const;

private:
    friend class RouterNodeBuilder;
    class Impl;
    explicit RouterNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// Builds a node and opens its listeners.
class RouterNodeBuilder
{
public:
    RouterNodeBuilder(const Settings &settings, Incarnation incarnation, LogSink &log);

    RouterNodeBuilder &core(CoreHandle core);
    RouterNodeBuilder &rpc(RpcHandler handler);
    RouterNodeBuilder &audit(AuditHandler handler);
    /// Sets the format of requests and responses; the default is the native protocol.
    RouterNodeBuilder &protocol(WireProtocolHandle protocol);
    /// Sets a function that starts (true) or stops (false) reading the platform's state when the
    /// core requests it. It is called on the control thread. The default reads the documents and
    /// the VM list with PlatformWatcher.
    RouterNodeBuilder &platformReader(std::function<void(bool)> reader);
    /// Sets a function that reads the platform's revision and posts PlatformRevisionRead with the
    /// given ticket, when the core requests it. It is called on the control thread. Without it the
    /// core gets no revisions.
    RouterNodeBuilder &revisionReader(std::function<void(std::uint64_t)> reader);
    /// Sets the function that SIGHUP calls on the control thread; without it SIGHUP is ignored.
    RouterNodeBuilder &reload(std::function<void()> reload);
    /// Sets whether SIGTERM and SIGINT start a planned stop, where a second signal ends the
    /// process.
    RouterNodeBuilder &handlesSignals(bool isHandling);

    /// Fails if a listener can't be opened.
    Expected<std::unique_ptr<RouterNode>> build();

private:
    Settings m_settings;
    Incarnation m_incarnation;
    LogSink &m_log;
    CoreHandle m_core;
    RpcHandler m_rpc;
    AuditHandler m_audit;
    WireProtocolHandle m_protocol = nativeProtocol();
    std::function<void(bool)> m_platformReader;
    std::function<void(std::uint64_t)> m_revisionReader;
    std::function<void()> m_reload;
    bool m_handlesSignals = false;
};

} // namespace berylridge
