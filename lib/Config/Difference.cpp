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
    ServiceComparison(const ServiceDocument &inForce, const ServiceDocument &next,
                      double allowedCut)
        : m_inForce(inForce)
        , m_next(next)
        , m_allowedCut(allowedCut)
    {
    }

    Difference run()
    {
        compareLimits();
        compareNamed("route", routesOf(m_inForce), routesOf(m_next));
        compareNamed("target", targetsOf(m_inForce), targetsOf(m_next));
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
    void field(const char *name, const T &before, const T &after)
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
        field("kind", kind(m_inForce), kind(m_next));
        field("slots", m_inForce.slots, m_next.slots);
        field("coldSlots", m_inForce.coldSlots, m_next.coldSlots);
        field("warmAfter", m_inForce.warmAfter, m_next.warmAfter);
        field("queueTimeoutMs", ms(m_inForce.queueTimeout), ms(m_next.queueTimeout));
        field("attemptTimeoutMs", ms(m_inForce.attemptTimeout), ms(m_next.attemptTimeout));
        field("idleTimeoutMs", ms(m_inForce.idleTimeout), ms(m_next.idleTimeout));
        field("retryBudget", m_inForce.retryBudget, m_next.retryBudget);
        field("bodyLimit", m_inForce.bodyLimit, m_next.bodyLimit);
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
        for (const auto &share : m_inForce.workspaces) {
            if (const auto *next = find(m_next, share.workspace))
                compareShare(share, *next);
            else
                removedWorkspace(share.workspace);
        }
        for (const auto &share : m_next.workspaces) {
            if (!find(m_inForce, share.workspace)) {
                m_difference.changes.push_back("workspace " + share.workspace.str()
                                               + " added (share "
                                               + percent(share.weight / weightSum(m_next)) + ")");
            }
        }
    }

    void removedWorkspace(const WorkspaceId &workspace)
    {
        m_difference.changes.push_back("workspace " + workspace.str() + " removed");
        m_difference.warnings.push_back("workspace " + workspace.str()
                                        + " loses the service: its callers will be refused");
    }

    void compareShare(const WorkspaceShare &before, const WorkspaceShare &after)
    {
        const auto name = "workspace " + before.workspace.str();
        field((name + " queueLimit").c_str(), before.queueLimit, after.queueLimit);
        if (before.credentialDigest != after.credentialDigest)
            m_difference.changes.push_back(name + " has another key");
        const double shareBefore = before.weight / weightSum(m_inForce);
        const double shareAfter = after.weight / weightSum(m_next);
        const auto change = name + " share " + percent(shareBefore) + " -> " + percent(shareAfter);
        if (percent(shareBefore) != percent(shareAfter))
            m_difference.changes.push_back(change);
        if (shareAfter < shareBefore * (1 - m_allowedCut))
            m_difference.warnings.push_back(change + " is a cut");
    }

    static std::uint64_t slotSum(const ServiceDocument &document)
    {
        const auto staying
            = std::count_if(document.targets.begin(), document.targets.end(),
                            [](const TargetSpec &target) { return !target.isLeaving; });
        return static_cast<std::uint64_t>(staying) * document.slots;
    }

    void compareCapacity()
    {
        const auto before = slotSum(m_inForce);
        const auto after = slotSum(m_next);
        field("slots of all targets that stay", before, after);
        if (after < before) {
            m_difference.warnings.push_back("the service loses slots: " + std::to_string(before)
                                            + " -> " + std::to_string(after));
        }
    }

    const ServiceDocument &m_inForce;
    const ServiceDocument &m_next;
    double m_allowedCut;
    Difference m_difference;
};

} // namespace

Difference compareServices(const ServiceDocument &inForce, const ServiceDocument &next,
                           double allowedCut)
{
    return ServiceComparison(inForce, next, allowedCut).run();
}

Difference compareFleets(const FleetDocument &inForce, const FleetDocument &next)
{
    Difference difference;
    const auto isOut = [](const FleetDocument &document, const ZoneId &zone) {
        return std::find(document.zonesOut.begin(), document.zonesOut.end(), zone)
            != document.zonesOut.end();
    };
    for (const auto &zone : inForce.zonesOut) {
        if (!isOut(next, zone))
            difference.changes.push_back("zone " + zone.str() + " returns to service");
    }
    for (const auto &zone : next.zonesOut) {
        if (isOut(inForce, zone))
            continue;
        difference.changes.push_back("zone " + zone.str() + " goes out of service");
        difference.warnings.push_back("zone " + zone.str() + " gets no new work");
    }
    return difference;
}

} // namespace berylridge
