// Runs two fake routers for the sessions of berylctl: the real administration API with fixed node
// states. Prints the ports, then serves until it is terminated.
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
            const auto credentials = request[http::field::authorization];
            const bool isOperator
                = isOperatorsKey({credentials.data(), credentials.size()}, keyDigest);
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
        AdminHooks result;
        result.node = NodeId(m_node);
        result.status = [this] { return status(); };
        result.explain = [this](const std::string &id) {
            return id == "r-1" && m_node == "a1"
                ? std::vector<std::string> {"waited 12 ms for a slot of assistant",
                                            "ran at assistant.a1"}
                : std::vector<std::string>();
        };
        result.leave = [this](const std::string & /*who*/) { m_state = "leaving"; };
        result.returnToService = [this](const std::string & /*who*/) { m_state = "ready"; };
        result.documents = [this] {
            return std::vector<DocumentText> {{"fleet", m_fleetVersion, R"({"zonesOut":["a"]})"}};
        };
        result.log = [](const LogRecord & /*record*/) {};
        result.wallNow = [this] { return now(); };
        return result;
    }

    /// Returns a time one second later at each call. The second router's clock is half a second
    /// behind.
    WallTime now()
    {
        ++m_calls;
        return WallTime(
            std::chrono::milliseconds(1767225600000 + m_calls * 1000 - (m_node == "a1" ? 0 : 500)));
    }

    NodeStatus status() const
    {
        NodeStatus result;
        result.node = NodeId(m_node);
        result.zone = ZoneId(m_zone);
        result.state = m_state;
        result.isReader = m_node == "a1";
        result.vmListRevision = 4;
        result.documents = {DocumentVersionEntry {"fleet", m_fleetVersion},
                            DocumentVersionEntry {"service/shop", 2}};
        result.members = {{NodeId("c1"), ZoneId("c"), "suspect", 7, 1.25}};
        TargetStatus target;
        target.service = ServiceId("shop");
        target.target = TargetId("shop.a1");
        target.zone = ZoneId("a");
        target.state = "warm";
        target.owner = NodeId("a1");
        target.limit = 4;
        target.granted = 3;
        result.targets = {target};
        WorkspaceStatus workspace;
        workspace.service = ServiceId("shop");
        workspace.workspace = WorkspaceId("hue");
        workspace.weight = 1.5;
        workspace.virtualTime = 12.25;
        workspace.waiting = 2;
        workspace.running = 1;
        result.workspaces = {workspace};
        return result;
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
    FakeRouter firstRouter("a1", "a", 3);
    FakeRouter secondRouter("b1", "b", 4);
    std::cout << firstRouter.port() << ' ' << secondRouter.port() << std::endl;
    std::thread firstThread([&] { firstRouter.serve(); });
    secondRouter.serve();
}
