// Implements the JSON-RPC methods, and a connector that takes a request and returns a response as
// strings.
#include "berylridge/Admin/AdminApi.h"

#include "StatusJson.h"

#include <algorithm>
#include <cassert>
#include <jsonrpccpp/server.h>

namespace berylridge {

namespace {

constexpr std::size_t maxWhoLength = 64;
constexpr std::size_t maxRequestIdLength = 128;
constexpr Json::UInt64 maxAuditPageEntries = 1000;
constexpr int unauthorizedError = -32001;

[[noreturn]] void throwInvalidParams(const std::string &message)
{
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, message);
}

const Json::Value *parameter(const Json::Value &parameters, const std::string &name)
{
    if (parameters.isNull())
        return nullptr;
    if (!parameters.isObject())
        throwInvalidParams("params must be an object");
    return parameters.find(name.data(), name.data() + name.size());
}

std::string stringParameter(const Json::Value &parameters, const std::string &name,
                            const std::string &defaultValue, std::size_t maxLength)
{
    const auto *value = parameter(parameters, name);
    if (!value)
        return defaultValue;
    auto text = value->isString() ? value->asString() : std::string();
    const bool isPrintable
        = std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
    if (text.empty() || text.size() > maxLength || !isPrintable) {
        throwInvalidParams(name + " must be a string of 1 to " + std::to_string(maxLength)
                           + " visible ASCII characters");
    }
    return text;
}

Json::UInt64 uintParameter(const Json::Value &parameters, const std::string &name,
                           Json::UInt64 defaultValue)
{
    const auto *value = parameter(parameters, name);
    if (!value)
        return defaultValue;
    if (!value->isUInt64())
        throwInvalidParams(name + " must be a whole number, 0 or more");
    return value->asUInt64();
}

bool boolParameter(const Json::Value &parameters, const std::string &name)
{
    const auto *value = parameter(parameters, name);
    if (value && !value->isBool())
        throwInvalidParams(name + " must be true or false");
    return value && value->asBool();
}

std::string errorBody(int code, const std::string &message)
{
    return R"({"jsonrpc":"2.0","id":null,"error":{"code":)" + std::to_string(code)
        + R"(,"message":")" + message + "\"}}\n";
}

} // namespace

/// Passes request bodies to the library. The HTTP connectors of libjsonrpccpp in Debian use threads
/// of their own and block, so the HTTP server of the node receives the requests instead.
class AdminApi::Connector : public jsonrpc::AbstractServerConnector
{
public:
    std::string handleRequest(const std::string &request)
    {
        std::string response;
        OnRequest(request, &response);
        return response;
    }

    bool StartListening() override { return true; } // NOLINT: the library's name
    bool StopListening() override { return true; }  // NOLINT: as above
    bool SendResponse(const std::string &response, void *destination) override // NOLINT: as above
    {
        *static_cast<std::string *>(destination) = response;
        return true;
    }
};

class AdminApi::Server : public jsonrpc::AbstractServer<AdminApi::Server>
{
public:
    Server(Connector &connector, AdminHooks hooks, AuditTrail &trail)
        : jsonrpc::AbstractServer<Server>(connector)
        , m_hooks(std::move(hooks))
        , m_trail(trail)
    {
        add("status", jsonrpc::JSON_OBJECT, &Server::status);
        add("explain", jsonrpc::JSON_OBJECT, &Server::explain);
        add("leave", jsonrpc::JSON_OBJECT, &Server::leave);
        add("return", jsonrpc::JSON_OBJECT, &Server::returnToService);
        add("audit", jsonrpc::JSON_OBJECT, &Server::audit);
        add("documents", jsonrpc::JSON_OBJECT, &Server::documents);
        add("events", jsonrpc::JSON_ARRAY, &Server::events);
    }

    void recordRejectedCall()
    {
        m_hooks.log(
            {LogEventId::OperatorRejected, "rejected a call without a valid operators' key"});
        m_trail.appendRead(makeAuditEntry("unknown", "rejected"));
    }

private:
    void add(const char *name, jsonrpc::jsontype_t result, methodPointer_t method)
    {
        [[maybe_unused]] const bool isNew = bindAndAddMethod(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, result, nullptr), method);
        assert(isNew && "duplicate method name");
    }

    Json::Value resultWithNode() const
    {
        Json::Value value;
        value["node"] = m_hooks.node.str();
        return value;
    }

    AuditEntry makeAuditEntry(std::string who, std::string what) const
    {
        AuditEntry entry;
        entry.kind = AuditKind::OperatorCall;
        entry.who = std::move(who);
        entry.what = std::move(what);
        entry.when = m_hooks.wallNow();
        return entry;
    }

    std::string operatorNameOf(const Json::Value &parameters) const
    {
        return stringParameter(parameters, "who", "operator", maxWhoLength);
    }

    void auditRead(const Json::Value &parameters, const std::string &what)
    {
        m_trail.appendRead(makeAuditEntry(operatorNameOf(parameters), what));
    }

    /// Changes are also logged, because the log leaves the VM, while the trail does so only when it
    /// is collected.
    std::string auditChange(const Json::Value &parameters, const std::string &what)
    {
        auto who = operatorNameOf(parameters);
        m_hooks.log({LogEventId::OperatorCall, who + " called " + what});
        m_trail.appendChange(makeAuditEntry(who, what));
        return who;
    }

    void status(const Json::Value &parameters, Json::Value &result)
    {
        auditRead(parameters, "status");
        result = statusValue(m_hooks.status());
    }

    void explain(const Json::Value &parameters, Json::Value &result)
    {
        const auto requestId = stringParameter(parameters, "requestId", "", maxRequestIdLength);
        if (requestId.empty())
            throwInvalidParams("requestId is missing");
        auditRead(parameters, "explain " + requestId);
        result = resultWithNode();
        result["lines"] = Json::Value(Json::arrayValue);
        for (const auto &line : m_hooks.explain(requestId))
            result["lines"].append(line);
    }

    void leave(const Json::Value &parameters, Json::Value &result)
    {
        m_hooks.leave(auditChange(parameters, "leave"));
        result = resultWithNode();
        result["state"] = m_hooks.status().state;
    }

    void returnToService(const Json::Value &parameters, Json::Value &result)
    {
        m_hooks.returnToService(auditChange(parameters, "return"));
        result = resultWithNode();
        result["state"] = m_hooks.status().state;
    }

    void audit(const Json::Value &parameters, Json::Value &result)
    {
        const auto after = uintParameter(parameters, "after", 0);
        const auto limit = std::min(uintParameter(parameters, "limit", maxAuditPageEntries),
                                    maxAuditPageEntries);
        result = auditValue(m_trail.after(after, limit));
        result["node"] = m_hooks.node.str();
        // The call is recorded after the page was built; otherwise a reader that resumes would
        // always receive its own last call.
        auditRead(parameters, "audit");
    }

    void documents(const Json::Value &parameters, Json::Value &result)
    {
        const bool withText = boolParameter(parameters, "withText");
        auditRead(parameters, "documents");
        result = resultWithNode();
        result["documents"] = Json::Value(Json::arrayValue);
        if (!withText || !m_hooks.documents) {
            for (const auto &documentVersion : m_hooks.status().documents)
                result["documents"].append(documentVersionValue(documentVersion));
            return;
        }
        for (const auto &document : m_hooks.documents()) {
            auto value = documentVersionValue({document.name, document.version});
            value["text"] = document.text;
            result["documents"].append(std::move(value));
        }
    }

    void events(const Json::Value &parameters, Json::Value &result)
    {
        auditRead(parameters, "events");
        result = eventsValue();
    }

    AdminHooks m_hooks;
    AuditTrail &m_trail;
};

AdminApi::AdminApi(AdminHooks hooks, AuditTrail &trail)
    : m_connector(std::make_unique<Connector>())
    , m_server(std::make_unique<Server>(*m_connector, std::move(hooks), trail))
{
}

AdminApi::~AdminApi() = default;

std::string AdminApi::handleRpc(std::string_view request, bool isOperator)
{
    if (!isOperator) {
        m_server->recordRejectedCall();
        return errorBody(unauthorizedError, "the operators' key is missing or wrong");
    }
    try {
        return m_connector->handleRequest(std::string(request));
    } catch (const std::exception &) {
        // jsoncpp throws on deep nesting and when the library uses a member as the wrong type.
        return errorBody(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, "not a JSON-RPC 2.0 request");
    }
}

} // namespace berylridge
