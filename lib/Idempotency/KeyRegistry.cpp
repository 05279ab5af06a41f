#include "berylridge/Idempotency/KeyRegistry.h"

namespace berylridge {

KeyRegistry::KeyRegistry(KeyOptions options)
    : m_options(std::move(options))
{
}

void KeyRegistry::begin(KeyRequest request, const std::string &key, std::uint64_t bodyHash,
                        TimePoint now, WallTime wall, KeyOutput &out)
{
    static_cast<void>(now);
    static_cast<void>(wall);
    const auto [it, isNew] = m_held.try_emplace(key);
    Held &held = it->second;
    if (isNew) {
        held.phase = KeyPhase::Admitted;
        held.bodyHash = bodyHash;
        out.decisions.emplace_back(KeyAdmitted {request, key});
        return;
    }
    if (held.bodyHash != bodyHash) {
        out.decisions.emplace_back(KeyRefused {request,
                                               key,
                                               422,
                                               Verdict::MayHaveRun,
                                               "key-reused",
                                               "the key names another request",
                                               {}});
        return;
    }
    if (held.phase == KeyPhase::Finished && held.body) {
        out.decisions.emplace_back(
            KeyAnswered {request, key, held.status, held.headers, *held.body});
        return;
    }
    out.decisions.emplace_back(KeyRefused {request, key, 409, Verdict::MayHaveRun, "key-in-use",
                                           "the operation may have run", std::chrono::seconds(1)});
}

bool KeyRegistry::mayDispatch(const std::string &key, TimePoint, WallTime) const
{
    const auto it = m_held.find(key);
    return it != m_held.end() && it->second.phase == KeyPhase::Admitted;
}

void KeyRegistry::dispatched(const std::string &key)
{
    m_held[key].phase = KeyPhase::Running;
}

void KeyRegistry::notSent(const std::string &key)
{
    m_held[key].phase = KeyPhase::Admitted;
}

Verdict KeyRegistry::release(const std::string &key, KeyOutput &)
{
    const auto it = m_held.find(key);
    if (it == m_held.end() || it->second.phase != KeyPhase::Admitted)
        return Verdict::MayHaveRun;
    m_held.erase(it);
    return Verdict::NotRun;
}

void KeyRegistry::finished(const std::string &key, unsigned status, std::vector<KeyHeader> headers,
                           std::optional<std::string> body)
{
    Held &held = m_held[key];
    held.phase = KeyPhase::Finished;
    held.status = status;
    held.headers = std::move(headers);
    held.body = std::move(body);
}

void KeyRegistry::failed(const std::string &key)
{
    m_held[key].phase = KeyPhase::Failed;
}

std::string KeyRegistry::issueKey(WallTime wall)
{
    return "issued." + std::to_string(wall.time_since_epoch().count()) + "."
        + std::to_string(++m_issued);
}

void KeyRegistry::onMessage(const NodeId &, Incarnation, const KeyMessage &, TimePoint, WallTime,
                            KeyOutput &)
{
}

void KeyRegistry::onMembers(std::span<const KeyMember>, TimePoint, WallTime, KeyOutput &) { }

void KeyRegistry::onVmList(const VmList &, TimePoint, WallTime, KeyOutput &) { }

void KeyRegistry::tick(TimePoint, WallTime, KeyOutput &) { }

TimePoint KeyRegistry::nextTimer() const
{
    return TimePoint::max();
}

std::string scopedKey(const ServiceId &service, const WorkspaceId &workspace,
                      std::string_view callerKey)
{
    return service.str() + '\n' + workspace.str() + '\n' + std::string(callerKey);
}

} // namespace berylridge
