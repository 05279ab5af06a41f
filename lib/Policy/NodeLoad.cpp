#include "berylridge/Policy/NodeLoad.h"

#include <algorithm>
#include <vector>

namespace berylridge {

namespace {

/// A tenth of the shortest latency target in use.
constexpr Duration acceptedLag = std::chrono::milliseconds(30);
/// Of the part, for each report whose lag is twice the accepted one; a flood is met in half a
/// second.
constexpr double gain = 0.06;
/// Of the threads' reports while they are late.
constexpr Duration reportPeriod = std::chrono::milliseconds(50);
/// Lags beyond so many times the accepted one count the same.
constexpr double highestLag = 4;
/// Some requests go on, so that the node finds out when it bears more.
constexpr double highestPart = 0.95;
/// A workspace without arrivals for some seconds is forgotten.
constexpr double idleRate = 0.05;

} // namespace

void NodeLoad::onLag(Duration lag, TimePoint now)
{
    const double times = std::min(toSeconds(lag) / toSeconds(acceptedLag), highestLag);
    m_part = std::clamp(shedPart(now) + gain * (times - 1), 0.0, highestPart);
    m_reportedAt = now;
}

double NodeLoad::shedPart(TimePoint now) const
{
    // No report means that nothing is late. Without this, one late turn would turn callers away for
    // as long as none is late.
    const double quietSeconds = std::max(0.0, toSeconds(now - m_reportedAt - reportPeriod));
    return std::max(0.0, m_part - gain * quietSeconds / toSeconds(reportPeriod));
}

bool NodeLoad::sheds(WorkspaceKey workspace, TimePoint now)
{
    m_arrivals[workspace].rate.add(1, now);
    if (shedPart(now) <= 0)
        return false;
    std::erase_if(m_arrivals,
                  [&](const auto &entry) { return entry.second.rate.at(now) < idleRate; });
    Arrivals &arrivals = m_arrivals[workspace];
    arrivals.kept = std::min(arrivals.kept + keptPart(arrivals, now), 2.0);
    if (arrivals.kept < 1)
        return true;
    arrivals.kept -= 1;
    return false;
}

double NodeLoad::keptPart(const Arrivals &arrivals, TimePoint now) const
{
    std::vector<double> rates;
    double total = 0;
    for (const auto &[workspace, each] : m_arrivals) {
        rates.push_back(each.rate.at(now));
        total += rates.back();
    }
    const double level = maxMinLevel(std::move(rates), (1 - shedPart(now)) * total);
    return std::min(1.0, level / arrivals.rate.at(now));
}

} // namespace berylridge
