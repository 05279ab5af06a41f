#include "berylridge/Policy/LoadShedder.h"

#include "berylridge/Policy/WorkspaceShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylridge {

namespace {

/// What the logarithm of the borne rate loses in each period whose lag is twice the accepted one,
/// and gains in each without any.
constexpr double integralGain = 0.1;
/// The same of the limit beside it, at once. The lag adds up what is kept too much: by the sum
/// alone the limit would swing about what is borne.
constexpr double proportionalGain = 0.4;
/// Lags beyond so many lagRatio the accepted one count the same.
constexpr double maxLagRatio = 4;
/// Periods that one report stands for at most.
constexpr double maxPeriodsPerReport = 10;
/// Requests a second, and part of the arrivals, that are kept in any case: refusals too make the
/// thread late, and by lag alone they would leave nothing for what is served.
constexpr double minLimitPerSecond = 10;
constexpr double minArrivalFraction = 0.01;
/// A credential that was idle keeps at once what its level gives it in a time between these.
constexpr Duration minBurstTime = std::chrono::milliseconds(100);
constexpr Duration maxBurstTime = std::chrono::milliseconds(250);
/// A credential without arrivals for some seconds is forgotten.
constexpr double idleRequestsPerSecond = 0.05;

} // namespace

void LoadShedder::onLag(Duration lag, TimePoint now)
{
    const double lagRatio = std::min(toSeconds(lag) / toSeconds(m_acceptedLag), maxLagRatio);
    // A first late turn may be a pause of the process or a short burst, which say little of its
    // load: it counts as one period, and brakes only if it is very late.
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
    // Also while nothing is shed: credentials are whatever callers send, and must not pile up.
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
    // A late thread meets at once what came while it was late.
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
    // Demands that fit may be those of a moment before a flood.
    if (isLimited())
        m_fairRate = std::min(maxMinFairRate(std::move(rates), m_limit), m_limit);
}

} // namespace berylridge
