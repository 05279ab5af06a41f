// A router process around a decision core: sockets become events, actions become sockets.
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

/// What the shell needs of a decision core.
template <typename T>
concept DecisionCore = requires(T &core, const T &constCore, const Event &event, TimePoint now,
                                WallTime wall, Actions &actions)
{
    core.handle(event, now, wall, actions);
    {
        constCore.nextTimer()
        } -> std::same_as<TimePoint>;
};

/// A decision core as the shell holds it; the core itself must outlive it.
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

/// Answers one JSON-RPC request of POST /rpc on the admin listener, on the control thread.
using RpcHandler = std::function<std::string(std::string_view request, bool isOperator)>;
/// Takes one entry of the audit trail, on the control thread.
using AuditHandler = std::function<void(const AuditEntry &entry)>;

class RouterNode
{
public:
    ~RouterNode();
    RouterNode(const RouterNode &) = delete;
    RouterNode &operator=(const RouterNode &) = delete;

    /// Serves until the core says Stopped, or stop(). The calling thread is the control thread.
    void run();

    /// From any thread: ends run() without waiting for requests.
    void stop();

    /// From any thread: one event for the core, such as an operator's LeaveOrdered.
    void post(Event event);

    /// The control thread's, for parts that bring events of their own.
    asio::io_context &context();

    /// On the control thread only (from an RpcHandler): carried out before it returns.
    void handleNow(const Event &event);

    /// Where it listens, with ports that the system chose where the settings say 0.
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
    /// How requests and answers look; the product's own protocol unless given.
    RouterNodeBuilder &protocol(WireProtocolHandle protocol);
    /// What begins (true) or ceases to read the platform's state when the core says so, on the
    /// control thread; the product's own watch of documents and VM list unless given.
    RouterNodeBuilder &platformReader(std::function<void(bool)> reader);
    /// What SIGHUP calls, on the control thread; without it SIGHUP is ignored.
    RouterNodeBuilder &reload(std::function<void()> reload);
    /// Whether SIGTERM and SIGINT order a planned stop, and a second one ends the process.
    RouterNodeBuilder &handlesSignals(bool isHandling);

    /// Fails where a listener can't be opened.
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
    std::function<void()> m_reload;
    bool m_handlesSignals = false;
};

} // namespace berylridge
