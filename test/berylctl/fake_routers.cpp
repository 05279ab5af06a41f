// Two routers for the sessions of berylctl: the real administration API over fixed nodes. Prints
// the ports, then serves until it is ended.
#include "berylridge/Admin/AdminApi.h"
#include "berylridge/Support/Hash.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <thread>

using namespace berylridge;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

const std::string keyDigest = credentialDigest("operators' key of the sessions");

class FakeRouter
{
public:
    FakeRouter(std::string node, std::string zone, std::uint64_t fleetVersion)
        : m_node(std::move(node))
        , m_zone(std::move(zone))
        , m_fleetVersion(fleetVersion)
        , m_api(hooks(), m_trail)
    {
        AuditEntry entry;
        entry.kind = AuditKind::DocumentAccepted;
        entry.who = "platform";
        entry.what = "fleet";
        entry.to = std::to_string(fleetVersion);
        entry.when = now();
        m_trail.appendChange(entry);
    }

    unsigned short port() const { return m_acceptor.local_endpoint().port(); }

    void serve()
    {
        while (true) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            http::read(socket, buffer, request);
            const auto given = request[http::field::authorization];
            const bool isOperator = isOperatorsKey({given.data(), given.size()}, keyDigest);
            http::response<http::string_body> response(
                isOperator ? http::status::ok : http::status::unauthorized, 11);
            response.body() = m_api.handleRpc(request.body(), isOperator);
            response.prepare_payload();
            http::write(socket, response);
        }
    }

private:
    AdminHooks hooks()
    {
        AdminHooks made;
        made.node = NodeId(m_node);
        made.status = [this] { return status(); };
        made.explain = [this](const std::string &id) {
            return id == "r-1" && m_node == "a1"
                ? std::vector<std::string> {"waited 12 ms for a slot of assistant",
                                            "ran at assistant.a1"}
                : std::vector<std::string>();
        };
        made.leave = [this](const std::string & /*who*/) { m_state = "leaving"; };
        made.returnToService = [this](const std::string & /*who*/) { m_state = "ready"; };
        made.documents = [this] {
            return std::vector<DocumentText> {{"fleet", m_fleetVersion, R"({"zonesOut":["a"]})"}};
        };
        made.log = [](const LogRecord & /*record*/) {};
        made.wallNow = [this] { return now(); };
        return made;
    }

    /// One second later at each call; the second router's clock is half a second behind.
    WallTime now()
    {
        ++m_calls;
        return WallTime(
            std::chrono::milliseconds(1767225600000 + m_calls * 1000 - (m_node == "a1" ? 0 : 500)));
    }

    NodeStatus status() const
    {
        NodeStatus made;
        made.node = NodeId(m_node);
        made.zone = ZoneId(m_zone);
        made.state = m_state;
        made.isReader = m_node == "a1";
        made.vmListRevision = 4;
        made.documents = {DocumentVersionEntry {"fleet", m_fleetVersion},
                          DocumentVersionEntry {"service/shop", 2}};
        made.members = {{NodeId("c1"), ZoneId("c"), "suspect", 7, 1.25}};
        TargetStatus target;
        target.service = ServiceId("shop");
        target.target = TargetId("shop.a1");
        target.zone = ZoneId("a");
        target.state = "warm";
        target.owner = NodeId("a1");
        target.limit = 4;
        target.granted = 3;
        made.targets = {target};
        WorkspaceStatus workspace;
        workspace.service = ServiceId("shop");
        workspace.workspace = WorkspaceId("hue");
        workspace.weight = 1.5;
        workspace.virtualTime = 12.25;
        workspace.waiting = 2;
        workspace.running = 1;
        made.workspaces = {workspace};
        return made;
    }

    std::string m_node;
    std::string m_zone;
    std::uint64_t m_fleetVersion;
    std::string m_state = "ready";
    std::int64_t m_calls = 0;
    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    AuditTrail m_trail;
    AdminApi m_api;
};

} // namespace

int main()
{
    FakeRouter one("a1", "a", 3);
    FakeRouter other("b1", "b", 4);
    std::cout << one.port() << ' ' << other.port() << std::endl;
    std::thread first([&] { one.serve(); });
    other.serve();
}
