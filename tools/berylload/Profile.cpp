#include "Profile.h"

#include "JsonText.h"

#include <set>

namespace berylridge {

namespace {

/// Reads the members of a JSON object and collects errors. The destructor reports unknown members.
class ObjectReader
{
public:
    ObjectReader(const Json::Value &value, std::string location, std::string &errors)
        : m_value(value)
        , m_location(std::move(location))
        , m_errors(errors)
    {
        if (!m_value.isObject())
            addError("must be an object");
    }
    ObjectReader(const ObjectReader &) = delete;
    ObjectReader &operator=(const ObjectReader &) = delete;
    ~ObjectReader()
    {
        if (!m_value.isObject())
            return;
        for (const auto &name : m_value.getMemberNames()) {
            if (!m_knownMembers.contains(name))
                addError("unknown name \"" + name + "\"");
        }
    }

    const Json::Value &member(const char *name)
    {
        m_knownMembers.insert(name);
        static const Json::Value none;
        return m_value.isObject() && m_value.isMember(name) ? m_value[name] : none;
    }
    /// Returns a member that must be a list, or an empty list if it is missing.
    const Json::Value &list(const char *name)
    {
        static const Json::Value empty(Json::arrayValue);
        const auto &value = member(name);
        if (value.isArray())
            return value;
        if (!value.isNull())
            addError(std::string(name) + " must be a list");
        return empty;
    }
    void read(const char *name, std::string &out)
    {
        if (const auto &value = member(name); value.isString())
            out = value.asString();
        else if (!value.isNull())
            addError(std::string(name) + " must be a text string");
    }
    void read(const char *name, bool &out)
    {
        if (const auto &value = member(name); value.isBool())
            out = value.asBool();
        else if (!value.isNull())
            addError(std::string(name) + " must be true or false");
    }
    void read(const char *name, double &out)
    {
        if (const auto &value = member(name); value.isNumeric() && value.asDouble() >= 0)
            out = value.asDouble();
        else if (!value.isNull())
            addError(std::string(name) + " must be a number of at least 0");
    }
    template <std::unsigned_integral Number>
    void read(const char *name, Number &out)
    {
        if (const auto &value = member(name); value.isUInt())
            out = static_cast<Number>(value.asUInt());
        else if (!value.isNull())
            addError(std::string(name) + " must be a whole number of at least 0");
    }
    void readMs(const char *name, Duration &out)
    {
        double ms = std::chrono::duration<double, std::milli>(out).count();
        read(name, ms);
        out = fromSeconds(ms / 1000);
    }
    void addError(const std::string &message) { m_errors += m_location + ": " + message + "\n"; }

private:
    const Json::Value &m_value;
    std::string m_location;
    std::string &m_errors;
    std::set<std::string> m_knownMembers;
};

std::vector<Endpoint> readEndpoints(const Json::Value &list, const std::string &location,
                                    std::string &errors)
{
    std::vector<Endpoint> endpoints;
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        ObjectReader reader(list[i], location + "[" + std::to_string(i) + "]", errors);
        Endpoint endpoint;
        reader.read("address", endpoint.address);
        reader.read("port", endpoint.port);
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

WorkspaceLoadSpec readWorkspace(const Json::Value &value, const std::string &location,
                                std::size_t routers, std::string &errors)
{
    ObjectReader reader(value, location, errors);
    WorkspaceLoadSpec spec;
    reader.read("name", spec.name);
    reader.read("key", spec.key);
    reader.read("weight", spec.weight);
    reader.read("streams", spec.streams);
    reader.read("lookups", spec.lookups);
    reader.read("purchases", spec.purchases);
    reader.read("lookupCallers", spec.lookupCallers);
    reader.read("fewestTokens", spec.fewestTokens);
    reader.read("mostTokens", spec.mostTokens);
    if (spec.mostTokens < spec.fewestTokens)
        reader.addError("mostTokens must be at least fewestTokens");
    for (const auto &index : reader.list("routers")) {
        if (index.isUInt() && index.asUInt() < routers)
            spec.routers.push_back(index.asUInt());
        else
            reader.addError("routers must contain indices into the profile's list of routers");
    }
    return spec;
}

} // namespace

Expected<Profile> readProfile(const std::string &file)
{
    const auto value = parseJsonFile(file);
    if (!value)
        return Reason {value.failureReason()};
    std::string errors;
    Profile profile;
    {
        ObjectReader reader(*value, file, errors);
        profile.routers = readEndpoints(reader.list("routers"), "routers", errors);
        profile.engines = readEndpoints(reader.list("engines"), "engines", errors);
        profile.services = readEndpoints(reader.list("services"), "services", errors);
        reader.read("streamService", profile.streamService);
        reader.read("plainService", profile.plainService);
        reader.read("seconds", profile.seconds);
        reader.read("seed", profile.seed);
        reader.readMs("timeoutMs", profile.timeout);
        reader.readMs("purchaseTimeoutMs", profile.purchaseTimeout);
        reader.read("purchaseAttempts", profile.purchaseAttempts);
        reader.read("isDirect", profile.isDirect);
        const auto &list = reader.list("workspaces");
        for (Json::ArrayIndex i = 0; i < list.size(); ++i)
            profile.workspaces.push_back(readWorkspace(
                list[i], "workspaces[" + std::to_string(i) + "]", profile.routers.size(), errors));
        if (profile.workspaces.empty())
            reader.addError("workspaces must name at least one workspace");
    }
    if (!errors.empty()) {
        errors.pop_back();
        return Reason {errors};
    }
    return profile;
}

} // namespace berylridge
