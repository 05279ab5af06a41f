// A small fleet of real daemons and stand-ins that a test starts on its own block of loopback
// addresses. The destructor terminates all of its processes.
#pragma once

#include "ChildProcess.h"
#include "HttpCall.h"
#include "LinkRelay.h"

#include "berylridge/Support/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <json/json.h>
#include <memory>
#include <string>
#include <vector>

namespace berylridge::test {

struct FleetOptions
{
    std::vector<std::string> zones {"a", "b", "c"};
    std::uint32_t routersPerZone = 1;
    std::uint32_t enginesPerZone = 1;
    std::uint32_t servicesPerZone = 1;
    std::uint32_t workspaces = 3;
    std::uint32_t slots = 4;
    std::uint32_t coldSlots = 1;
    std::uint32_t warmAfter = 4;
    double tokensPerSecond = 100;
    Json::Value routerSettings {Json::objectValue}; ///< Added to each router's settings file.
    bool hasRelay = false; ///< Nodes communicate through a LinkRelay, which can partition zones.
};

/// The node name, zone and endpoints of a router.
struct RouterLocation
{
    std::string node;
    std::string zone;
    Endpoint callers;
    Endpoint peers;
    Endpoint admin;
    Endpoint advertised; ///< Where other nodes reach it: its peers endpoint or the relay's.
};

struct TargetLocation
{
    std::string name;
    std::string zone;
    Endpoint endpoint;
};

class TestFleet
{
public:
    explicit TestFleet(FleetOptions options);
    ~TestFleet();
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    /// Starts all processes. Returns false if a router is not ready, or still rejects purchases,
    /// when the timeout expires.
    bool start();

    std::size_t routerCount() const { return m_routers.size(); }
    const RouterLocation &router(std::size_t index) const { return m_routers[index]; }
    ChildProcess &routerProcess(std::size_t index) { return *m_routerProcesses[index]; }
    const std::vector<TargetLocation> &engines() const { return m_engines; }
    const std::vector<TargetLocation> &services() const { return m_services; }
    ChildProcess &engineProcess(std::size_t index) { return *m_engineProcesses[index]; }
    LinkRelay &relay() { return *m_relay; }

    /// Counts the crashes of engines that received more requests than their cold slots, including
    /// engines that were restarted.
    std::uint32_t countOverloadCrashes() const;

    void startRouter(std::size_t index);
    void startEngine(std::size_t index);
    bool isReady(std::size_t index) const;

    /// Publishes the next version of the fleet document, with these zones evacuated.
    void publishEvacuatedZones(const std::vector<std::string> &zones);
    void controlPlatform(const std::string &command);
    /// Returns the counters of a stand-in.
    Json::Value engineStats(std::size_t index) const;
    Json::Value serviceStats(std::size_t index) const;
    void controlTarget(const Endpoint &target, const std::string &command) const;
    /// Returns how often the purchase with this key was executed, over all plain services.
    std::uint64_t executionCount(const std::string &key) const;

    /// Returns a call to a router with the credentials of a workspace.
    CallSpec callSpec(std::size_t router, std::uint32_t workspace, const std::string &method,
                      const std::string &target) const;
    /// Returns a berylload profile that covers all routers; a test may change it and pass it to
    /// startLoad().
    Json::Value profile(double seconds) const;
    /// Starts berylload. After it has exited, loadReport() returns its report.
    std::unique_ptr<ChildProcess> startLoad(const Json::Value &profile);
    Json::Value loadReport() const;
    /// Returns the ends of all processes' logs, for the message of a failed test.
    std::string logs() const;

private:
    bool acceptsPurchases(std::size_t router) const;
    bool hasOverloadCrash(std::size_t engine) const;
    void reserveAddresses();
    void assignAddresses();
    void assignTargetAddresses(const std::string &zone, const std::string &prefix, unsigned group,
                               unsigned count, std::vector<TargetLocation> &targets) const;
    void startStandIns();
    void startRelay();
    std::string address(unsigned group, unsigned number) const;
    std::string file(const std::string &name) const { return (m_directory / name).string(); }
    void writeSettings(const RouterLocation &router) const;
    Json::Value vmList() const;
    Json::Value serviceDocument(const std::string &name, const std::vector<TargetLocation> &targets,
                                bool isEngine) const;
    void putDocument(const std::string &name, const Json::Value &body);
    static Json::Value stats(const Endpoint &endpoint);

    FleetOptions m_options;
    std::filesystem::path m_directory;
    unsigned m_block = 0; ///< Second octet of all addresses: 127.block.group.number.
    boost::asio::io_context m_io;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_reservationSocket;
    Endpoint m_platform;
    std::vector<RouterLocation> m_routers;
    std::vector<TargetLocation> m_engines;
    std::vector<TargetLocation> m_services;
    std::uint64_t m_documentVersion = 0;
    std::uint32_t m_restartedOverloads = 0; ///< Overload crashes of engines that were restarted.
    std::unique_ptr<LinkRelay> m_relay;
    std::unique_ptr<ChildProcess> m_platformProcess;
    std::vector<std::unique_ptr<ChildProcess>> m_engineProcesses;
    std::vector<std::unique_ptr<ChildProcess>> m_serviceProcesses;
    std::vector<std::unique_ptr<ChildProcess>> m_routerProcesses;
};

} // namespace berylridge::test
