#include "berylridge/Policy/NodeLoad.h"

#include "berylridge/Policy/WorkspaceShares.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

/// Of the part, for each period whose lag is twice the accepted one; a flood is met in half a
/// second.
constexpr double gain = 0.06;
/// Lags beyond so many times the accepted one count the same.
constexpr double highestLag = 4;
/// Some requests go on, so that the node finds out when it bears more.
constexpr double highestPart = 0.95;
/// A credential without arrivals for some seconds is forgotten.
constexpr double idleRate = 0.05;

} // namespace

void NodeLoad::onLag(Duration lag)
{
    const double times = std::min(toSeconds(lag) / toSeconds(m_acceptedLag), highestLag);
    const double periods = std::max(1.0, toSeconds(lag) / toSeconds(reportPeriod));
    m_part = std::clamp(m_part + gain * (times - 1) * periods, 0.0, highestPart);
}

bool NodeLoad::sheds(CredentialKey credential, TimePoint now)
{
    Arrivals &arrivals = m_arrivals[credential];
    arrivals.rate.add(1, now);
    // Also while nothing is shed: credentials are whatever callers send, and must not pile up.
    if (now - m_levelAt >= reportPeriod)
        updateLevel(now);
    if (m_part <= 0)
        return false;
    arrivals.kept = std::min(arrivals.kept + std::min(1.0, m_level / arrivals.rate.at(now)), 2.0);
    if (arrivals.kept < 1) {
        ++arrivals.shed;
        return true;
    }
    arrivals.kept -= 1;
    return false;
}

std::vector<ShedCount> NodeLoad::takeShed()
{
    std::vector<ShedCount> counts;
    for (auto &[credential, each] : m_arrivals) {
        if (each.shed > 0)
            counts.push_back({credential, std::exchange(each.shed, 0)});
    }
    return counts;
}

void NodeLoad::updateLevel(TimePoint now)
{
    m_levelAt = now;
    std::erase_if(m_arrivals,
                  [&](const auto &entry) { return entry.second.rate.at(now) < idleRate; });
    std::vector<double> rates;
    double total = 0;
    for (const auto &[credential, each] : m_arrivals) {
        rates.push_back(each.rate.at(now));
        total += rates.back();
    }
    m_level = maxMinLevel(std::move(rates), (1 - m_part) * total);
}

} // namespace berylridge
