// The product's own protocol towards callers and targets.
#include "CallerRequest.h"

#include "berylridge/Net/WireProtocol.h"

#include <algorithm>
#include <array>

namespace berylridge {

namespace {

bool isIn(std::span<const std::string_view> names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view each) {
        return beast::iequals(beastView(each), beastView(name));
    });
}

class OwnProtocol
{
public:
    CallerNames readCaller(const StringRequest &request) const
    {
        return {std::string(view(request[beastView(fields::requestId)])), credentialOf(request)};
    }

    std::variant<RequestArrived, Problem> readRequest(const StringRequest &request,
                                                      std::string_view freshId) const
    {
        return readCallerRequest(request, freshId);
    }

    bool passesRequestField(std::string_view name) const
    {
        static constexpr auto own = std::to_array<std::string_view>(
            {"Authorization", "Host", "Content-Length", "Expect", "Prefer", fields::costHint,
             fields::requestId, fields::attemptId, fields::workspace, fields::lastEventId});
        return !isIn(own, name);
    }

    void completeRequestHead(const StringRequest &, const Dispatch &order,
                             const AttemptNames &names, RequestHead &head) const
    {
        head.set(http::field::host,
                 order.endpoint.address + ":" + std::to_string(order.endpoint.port));
        head.set(beastView(fields::requestId), beastView(names.requestId));
        head.set(beastView(fields::attemptId), beastView(names.attemptId));
        head.set(beastView(fields::workspace), order.workspace.str());
        if (!names.lastEventId.empty())
            head.set(beastView(fields::lastEventId), beastView(names.lastEventId));
    }

    AnswerFacts readAnswer(const AnswerHead &head, const AttemptNames &names) const
    {
        AnswerFacts facts;
        const auto attemptId = head.find(beastView(fields::attemptId));
        facts.isUsable = attemptId == head.end() || view(attemptId->value()) == names.attemptId;
        facts.bootId = std::string(view(head[beastView(fields::bootId)]));
        return facts;
    }

    bool passesAnswerField(std::string_view name) const
    {
        static constexpr auto own = std::to_array<std::string_view>(
            {fields::requestId, fields::attemptId, fields::bootId, fields::verdict});
        return !isIn(own, name);
    }

    void completeAnswerHead(std::string_view requestId, CallerAnswerHead &head) const
    {
        head.set(beastView(fields::requestId), beastView(requestId));
        head.set(beastView(fields::verdict), beastView(verdictName(Verdict::Ran)));
    }

    StringResponse problemAnswer(const Problem &problem, std::string_view requestId) const
    {
        return problemResponse(problem, requestId);
    }

    WireRules rules() const { return {}; }
};

} // namespace

const WireProtocolHandle &ownProtocol()
{
    static const OwnProtocol protocol;
    static const WireProtocolHandle handle = WireProtocolHandle::of(protocol);
    return handle;
}

} // namespace berylridge
