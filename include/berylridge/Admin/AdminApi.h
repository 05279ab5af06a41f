// The administration API of one node: JSON-RPC 2.0 by libjsonrpccpp, without any HTTP. The shell
// hands in each request's body and sends back what it is given.
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

/// What the API asks of the node. All are called within handleRpc(), on its thread.
struct AdminHooks
{
    NodeId node; ///< Stands in every answer that is an object.
    std::function<NodeStatus()> status;
    std::function<std::vector<std::string>(const std::string &requestId)> explain;
    std::function<void(const std::string &who)> leave;
    std::function<void(const std::string &who)> returnToService;
    /// Texts of the documents in force; may be empty, then only heads are given.
    std::function<std::vector<DocumentText>()> documents;
    std::function<void(LogRecord)> log;
    std::function<WallTime()> wallNow;
};

/// Whether an Authorization header ("Bearer KEY") carries the key with this digest. Takes the same
/// time for any wrong key.
bool isOperatorsKey(std::string_view authorization, std::string_view operatorsKeyDigest);

/// Methods: status, explain {requestId}, leave {who}, return {who}, audit {after, limit},
/// documents {withText}, events. Each may carry {who}, which the audit trail names. Not safe for
/// use by two threads at once: the control thread calls it.
class AdminApi
{
public:
    AdminApi(AdminHooks hooks, AuditTrail &trail);
    ~AdminApi();
    AdminApi(const AdminApi &) = delete;
    AdminApi &operator=(const AdminApi &) = delete;

    /// The body to send back. Without the operators' key nothing in the request is looked at; the
    /// shell sends such an answer with status 401. Empty for a notification: status 204.
    std::string handleRpc(std::string_view request, bool isOperator);

private:
    class Server;
    class Connector;
    std::unique_ptr<Connector> m_connector;
    std::unique_ptr<Server> m_server;
};

} // namespace berylridge
