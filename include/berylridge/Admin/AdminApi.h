// Implements the administration API of one node as JSON-RPC 2.0 with libjsonrpccpp, without any
// HTTP. The embedding HTTP server passes in the body of each request and sends back the body that
// is returned.
#pragma once

#include "berylridge/Admin/AuditTrail.h"
#include "berylridge/Config/Documents.h"
#include "berylridge/Router/Status.h"
#include "berylridge/Support/LogEvent.h"
#include "berylridge/Support/Time.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// The operations of the node that the API uses. All of them are called within handleRpc(), on its
/// thread.
struct AdminHooks
{
    NodeId node; ///< Is part of every result that is an object.
    std::function<NodeStatus()> status;
    std::function<std::vector<std::string>(const std::string &requestId)> explain;
    std::function<void(const std::string &who)> leave;
    std::function<void(const std::string &who)> returnToService;
    /// Returns the texts of the active documents. May be empty; then only names and versions are
    /// reported.
    std::function<std::vector<DocumentText>()> documents;
    std::function<void(LogRecord)> log;
    std::function<WallTime()> wallNow;
};

/// Returns whether an Authorization header ("Bearer KEY") contains the key with this digest. The
/// comparison takes the same time for every wrong key.
bool isOperatorsKey(std::string_view authorization, std::string_view operatorsKeyDigest);

/// Methods: status, explain {requestId}, leave {who}, return {who}, audit {after, limit}, documents
/// {withText}, events. Each accepts {who}, the operator's name in the audit trail. Not thread-safe:
/// only the control thread calls it.
class AdminApi
{
public:
    AdminApi(AdminHooks hooks, AuditTrail &trail);
    ~AdminApi();
    AdminApi(const AdminApi &) = delete;
    AdminApi &operator=(const AdminApi &) = delete;

    /// Returns the body to send back. Without the operators' key the request isn't parsed, and the
    /// HTTP server sends the returned error with status 401. The body is empty for a notification,
    /// which gets status 204.
    std::string handleRpc(std::string_view request, bool isOperator);

private:
    class Server;
    class Connector;
    std::unique_ptr<Connector> m_connector;
    std::unique_ptr<Server> m_server;
};

} // namespace berylridge
