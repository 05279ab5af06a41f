#include "Tally.h"

#include <algorithm>

namespace berylridge {

namespace {

constexpr unsigned binCount = 9000;
constexpr double minLatencyMs = 0.01;
constexpr double maxLatencyMs = 200000;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_bins(boost::histogram::make_histogram(Axis(binCount, minLatencyMs, maxLatencyMs)))
{
}

void LatencyHistogram::add(Duration latency)
{
    const double ms = std::chrono::duration<double, std::milli>(latency).count();
    m_bins(std::clamp(ms, minLatencyMs, maxLatencyMs * 0.999));
    ++m_count;
}

double LatencyHistogram::quantileMs(double quantile) const
{
    if (m_count == 0)
        return 0;
    double sum = 0;
    const auto &axis = m_bins.axis(0);
    for (int i = 0; i < axis.size(); ++i) {
        sum += m_bins.at(i);
        if (sum >= quantile * static_cast<double>(m_count))
            return axis.bin(i).upper();
    }
    return maxLatencyMs;
}

} // namespace berylridge
