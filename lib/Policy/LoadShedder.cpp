#include "berylridge/Policy/LoadShedder.h"

#include "berylridge/Policy/WorkspaceShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylridge {

namespace {

/// Integral gain: in each period, the logarithm of the sustainable rate falls by this much if the
/// lag is twice the accepted one, and rises by as much if there is no lag.
constexpr double integralGain = 0.1;
/// Proportional gain: the same for the limit, applied at once and not accumulated. The lag sums up
/// the accepted excess; with the integral term alone, the limit would oscillate around the
/// sustainable rate.
constexpr double proportionalGain = 0.4;
/// Larger ratios of the lag to the accepted lag count as this one.
constexpr double maxLagRatio = 4;
/// Maximum number of periods that one report counts for.
constexpr double maxPeriodsPerReport = 10;
/// Requests per second, and fraction of the arrivals, that are accepted in any case. Rejections
/// also make the thread late; judged by lag alone, they would leave nothing to be served.
constexpr double minLimitPerSecond = 10;
constexpr double minArrivalFraction = 0.01;
/// Bounds for the time whose worth of the fair rate an idle credential may use at once.
constexpr Duration minBurstTime = std::chrono::milliseconds(100);
constexpr Duration maxBurstTime = std::chrono::milliseconds(250);
/// A credential without arrivals for several seconds is removed.
constexpr double idleRequestsPerSecond = 0.05;

} // namespace

void LoadShedder::onLag(Duration lag, TimePoint now)
{
    const double lagRatio = std::min(toSeconds(lag) / toSeconds(m_acceptedLag), maxLagRatio);
    // A first late report may be due to a pause of the process or a short burst, which say little
    // about its load. It counts as one period, and the proportional term applies only if it is very
    // late.
    const bool wasLate = std::exchange(m_wasLate, lagRatio > 1);
    const double periods = wasLate
        ? std::clamp(toSeconds(lag) / toSeconds(reportPeriod), 1.0, maxPeriodsPerReport)
        : 1;
    const bool hasShed = std::exchange(m_hasShedSinceReport, false);
    m_lag = lag;
    if (lagRatio <= 1 && !hasShed) {
        m_sustainableRate = m_limit = unlimited;
        m_onTimeRate = m_acceptedRate.at(now);
    } else {
        const double minLimit = std::max(minLimitPerSecond, minArrivalFraction * m_arrivalRate);
        if (!isLimited())
            m_sustainableRate = std::max(m_onTimeRate, m_acceptedRate.at(now));
        m_sustainableRate = std::max(
            m_sustainableRate * std::exp(integralGain * (1 - lagRatio) * periods), minLimit);
        const bool isProportionalTermUsed = wasLate || lagRatio >= maxLagRatio;
        m_limit = isProportionalTermUsed
            ? std::max(m_sustainableRate * std::exp(proportionalGain * (1 - lagRatio)), minLimit)
            : m_sustainableRate;
    }
    updateFairRate(now);
}

bool LoadShedder::sheds(CredentialKey credential, TimePoint now)
{
    Arrivals &arrivals = m_arrivals[credential];
    arrivals.rate.add(1, now);
    // Runs also while nothing is shed: callers send arbitrary credentials, and their entries must
    // not accumulate.
    if (now - m_fairRateUpdatedAt >= reportPeriod)
        updateFairRate(now);
    if (m_fairRate < unlimited && !tryTake(arrivals, now)) {
        ++arrivals.shed;
        m_hasShedSinceReport = true;
        return true;
    }
    m_acceptedRate.add(1, now);
    return false;
}

bool LoadShedder::tryTake(Arrivals &arrivals, TimePoint now)
{
    // A thread that was late receives at once all that arrived in the meantime.
    const Duration burstTime = std::clamp(m_lag, minBurstTime, maxBurstTime);
    const double burst = std::max(1.0, m_fairRate * toSeconds(burstTime));
    const double earned = m_fairRate * toSeconds(now - arrivals.filledAt);
    arrivals.tokens = std::min(arrivals.tokens + earned, burst);
    arrivals.filledAt = now;
    if (arrivals.tokens < 1)
        return false;
    arrivals.tokens -= 1;
    return true;
}

std::vector<ShedCount> LoadShedder::takeShedCounts()
{
    std::vector<ShedCount> counts;
    for (auto &[credential, each] : m_arrivals) {
        if (each.shed > 0)
            counts.push_back({credential, std::exchange(each.shed, 0)});
    }
    return counts;
}

void LoadShedder::updateFairRate(TimePoint now)
{
    m_fairRateUpdatedAt = now;
    std::erase_if(m_arrivals, [&](const auto &entry) {
        return entry.second.shed == 0 && entry.second.rate.at(now) < idleRequestsPerSecond;
    });
    m_fairRate = unlimited;
    m_arrivalRate = 0;
    std::vector<double> rates;
    rates.reserve(m_arrivals.size());
    for (const auto &[credential, each] : m_arrivals) {
        rates.push_back(each.rate.at(now));
        m_arrivalRate += rates.back();
    }
    // If the present demands fit, they may be those of the moment before a flood.
    if (isLimited())
        m_fairRate = std::min(maxMinFairRate(std::move(rates), m_limit), m_limit);
}

} // namespace berylridge
