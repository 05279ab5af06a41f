// Compares documents field by field.
#include "berylridge/Config/Difference.h"

#include "berylridge/Support/Endpoint.h"

#include <algorithm>
#include <initializer_list>
#include <map>
#include <sstream>
#include <string_view>

namespace berylridge {

namespace {

std::string percent(double part)
{
    std::ostringstream out;
    out.precision(3);
    out << part * 100 << "%";
    return out.str();
}

std::string routeText(const RouteRule &rule)
{
    return rule.isIdempotent ? "idempotent" : "once";
}

std::string targetText(const TargetSpec &target)
{
    return "zone " + target.zone.str() + " " + endpointText({target.address, target.port})
        + (target.isLeaving ? " leaving" : "") + (target.checksFencing ? " checks fencing" : "");
}

class ServiceComparison
{
public:
    ServiceComparison(const ServiceDocument &current, const ServiceDocument &next,
                      double maxShareCut)
        : m_current(current)
        , m_next(next)
        , m_maxShareCut(maxShareCut)
    {
    }

    Difference run()
    {
        compareLimits();
        compareNamed("route", routesOf(m_current), routesOf(m_next));
        compareNamed("target", targetsOf(m_current), targetsOf(m_next));
        compareWorkspaces();
        compareCapacity();
        return std::move(m_difference);
    }

private:
    using Texts = std::map<std::string, std::string>;

    void change(std::initializer_list<std::string_view> parts)
    {
        std::string line;
        for (const auto part : parts)
            line += part;
        m_difference.changes.push_back(std::move(line));
    }

    template <typename T>
    void compareField(const char *name, const T &before, const T &after)
    {
        if (before == after)
            return;
        std::ostringstream line;
        line << name << " " << before << " -> " << after;
        m_difference.changes.push_back(line.str());
    }

    void compareLimits()
    {
        const auto kind = [](const ServiceDocument &document) {
            return std::string(document.kind == ServiceKind::Plain ? "plain" : "model-engine");
        };
        const auto ms = [](Duration duration) { return duration / std::chrono::milliseconds(1); };
        compareField("kind", kind(m_current), kind(m_next));
        compareField("slots", m_current.slots, m_next.slots);
        compareField("coldSlots", m_current.coldSlots, m_next.coldSlots);
        compareField("warmAfter", m_current.warmAfter, m_next.warmAfter);
        compareField("queueTimeoutMs", ms(m_current.queueTimeout), ms(m_next.queueTimeout));
        compareField("attemptTimeoutMs", ms(m_current.attemptTimeout), ms(m_next.attemptTimeout));
        compareField("idleTimeoutMs", ms(m_current.idleTimeout), ms(m_next.idleTimeout));
        compareField("retryBudget", m_current.retryBudget, m_next.retryBudget);
        compareField("bodyLimit", m_current.bodyLimit, m_next.bodyLimit);
    }

    static Texts routesOf(const ServiceDocument &document)
    {
        Texts texts;
        for (const auto &rule : document.routes)
            texts[rule.method + " " + rule.pathPrefix] = routeText(rule);
        return texts;
    }

    static Texts targetsOf(const ServiceDocument &document)
    {
        Texts texts;
        for (const auto &target : document.targets)
            texts[target.target.str()] = targetText(target);
        return texts;
    }

    void compareNamed(const std::string &kind, const Texts &before, const Texts &after)
    {
        for (const auto &[name, text] : before) {
            const auto found = after.find(name);
            if (found == after.end())
                change({kind, " ", name, " removed (", text, ")"});
            else if (found->second != text)
                change({kind, " ", name, " ", text, " -> ", found->second});
        }
        for (const auto &[name, text] : after) {
            if (!before.contains(name))
                change({kind, " ", name, " added (", text, ")"});
        }
    }

    static double weightSum(const ServiceDocument &document)
    {
        double sum = 0;
        for (const auto &share : document.workspaces)
            sum += share.weight;
        return sum;
    }

    static const WorkspaceShare *find(const ServiceDocument &document, const WorkspaceId &workspace)
    {
        const auto found = std::find_if(
            document.workspaces.begin(), document.workspaces.end(),
            [&](const WorkspaceShare &share) { return share.workspace == workspace; });
        return found == document.workspaces.end() ? nullptr : &*found;
    }

    void compareWorkspaces()
    {
        for (const auto &share : m_current.workspaces) {
            if (const auto *next = find(m_next, share.workspace))
                compareShare(share, *next);
            else
                addRemovedWorkspace(share.workspace);
        }
        for (const auto &share : m_next.workspaces) {
            if (!find(m_current, share.workspace)) {
                m_difference.changes.push_back("workspace " + share.workspace.str()
                                               + " added (share "
                                               + percent(share.weight / weightSum(m_next)) + ")");
            }
        }
    }

    void addRemovedWorkspace(const WorkspaceId &workspace)
    {
        m_difference.changes.push_back("workspace " + workspace.str() + " removed");
        m_difference.warnings.push_back("workspace " + workspace.str()
                                        + " loses the service: its callers will be refused");
    }

    void compareShare(const WorkspaceShare &before, const WorkspaceShare &after)
    {
        const auto name = "workspace " + before.workspace.str();
        compareField((name + " queueLimit").c_str(), before.queueLimit, after.queueLimit);
        if (before.credentialDigest != after.credentialDigest)
            m_difference.changes.push_back(name + " has a different key");
        const double shareBefore = before.weight / weightSum(m_current);
        const double shareAfter = after.weight / weightSum(m_next);
        const auto change = name + " share " + percent(shareBefore) + " -> " + percent(shareAfter);
        if (percent(shareBefore) != percent(shareAfter))
            m_difference.changes.push_back(change);
        if (shareAfter < shareBefore * (1 - m_maxShareCut))
            m_difference.warnings.push_back(change + " exceeds the allowed reduction");
    }

    static std::uint64_t slotSum(const ServiceDocument &document)
    {
        const auto remaining
            = std::count_if(document.targets.begin(), document.targets.end(),
                            [](const TargetSpec &target) { return !target.isLeaving; });
        return static_cast<std::uint64_t>(remaining) * document.slots;
    }

    void compareCapacity()
    {
        const auto before = slotSum(m_current);
        const auto after = slotSum(m_next);
        compareField("number of slots of all remaining targets", before, after);
        if (after < before) {
            m_difference.warnings.push_back("the service loses slots: " + std::to_string(before)
                                            + " -> " + std::to_string(after));
        }
    }

    const ServiceDocument &m_current;
    const ServiceDocument &m_next;
    double m_maxShareCut;
    Difference m_difference;
};

} // namespace

Difference compareServices(const ServiceDocument &current, const ServiceDocument &next,
                           double maxShareCut)
{
    return ServiceComparison(current, next, maxShareCut).run();
}

Difference compareFleets(const FleetDocument &current, const FleetDocument &next)
{
    Difference difference;
    const auto isOut = [](const FleetDocument &document, const ZoneId &zone) {
        return std::find(document.zonesOut.begin(), document.zonesOut.end(), zone)
            != document.zonesOut.end();
    };
    for (const auto &zone : current.zonesOut) {
        if (!isOut(next, zone))
            difference.changes.push_back("zone " + zone.str() + " returns to service");
    }
    for (const auto &zone : next.zonesOut) {
        if (isOut(current, zone))
            continue;
        difference.changes.push_back("zone " + zone.str() + " goes out of service");
        difference.warnings.push_back("zone " + zone.str() + " receives no new requests");
    }
    return difference;
}

} // namespace berylridge
