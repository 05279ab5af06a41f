// Implements the product's native protocol towards callers and targets.
#include "CallerRequest.h"

#include "berylridge/Net/WireProtocol.h"

#include <algorithm>
#include <array>

namespace berylridge {

namespace {

bool contains(std::span<const std::string_view> names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view each) {
        return beast::iequals(beastView(each), beastView(name));
    });
}

class NativeProtocol
{
public:
    CallerIdentity readCaller(const StringRequest &request) const
    {
        return {std::string(view(request[beastView(fields::requestId)])), credentialOf(request)};
    }

    std::variant<RequestArrived, Problem> readRequest(const StringRequest &request,
                                                      std::string_view generatedId) const
    {
        return readCallerRequest(request, generatedId);
    }

    bool forwardsRequestField(std::string_view name) const
    {
        static constexpr auto routerFields = std::to_array<std::string_view>(
            {"Authorization", "Host", "Content-Length", "Expect", "Prefer", fields::costHint,
             fields::requestId, fields::attemptId, fields::workspace, fields::lastEventId});
        return !contains(routerFields, name);
    }

    void completeRequestHead(const StringRequest &, const Dispatch &dispatch, const AttemptIds &ids,
                             RequestHead &head) const
    {
        head.set(http::field::host,
                 dispatch.endpoint.address + ":" + std::to_string(dispatch.endpoint.port));
        head.set(beastView(fields::requestId), beastView(ids.requestId));
        head.set(beastView(fields::attemptId), beastView(ids.attemptId));
        head.set(beastView(fields::workspace), dispatch.workspace.str());
        if (!ids.lastEventId.empty())
            head.set(beastView(fields::lastEventId), beastView(ids.lastEventId));
    }

    ResponseInfo readResponseHead(const ResponseHead &head, const AttemptIds &ids) const
    {
        ResponseInfo info;
        const auto attemptId = head.find(beastView(fields::attemptId));
        info.isUsable = attemptId == head.end() || view(attemptId->value()) == ids.attemptId;
        info.bootId = std::string(view(head[beastView(fields::bootId)]));
        return info;
    }

    bool forwardsResponseField(std::string_view name) const
    {
        static constexpr auto routerFields = std::to_array<std::string_view>(
            {fields::requestId, fields::attemptId, fields::bootId, fields::verdict});
        return !contains(routerFields, name);
    }

    void completeResponseHead(std::string_view requestId, CallerResponseHead &head) const
    {
        head.set(beastView(fields::requestId), beastView(requestId));
        head.set(beastView(fields::verdict), beastView(verdictName(Verdict::Ran)));
    }

    StringResponse buildProblemResponse(const Problem &problem, std::string_view requestId) const
    {
        return problemResponse(problem, requestId);
    }

    WireProtocolTraits traits() const { return {}; }
};

} // namespace

const WireProtocolHandle &nativeProtocol()
{
    static const NativeProtocol protocol;
    static const WireProtocolHandle handle = WireProtocolHandle::of(protocol);
    return handle;
}

} // namespace berylridge
