#include "Tally.h"

#include <algorithm>

namespace berylridge {

namespace {

constexpr unsigned bins = 9000;
constexpr double lowestMs = 0.01;
constexpr double highestMs = 200000;

} // namespace

LatencySamples::LatencySamples()
    : m_bins(boost::histogram::make_histogram(Axis(bins, lowestMs, highestMs)))
{
}

void LatencySamples::add(Duration latency)
{
    const double ms = std::chrono::duration<double, std::milli>(latency).count();
    m_bins(std::clamp(ms, lowestMs, highestMs * 0.999));
    ++m_count;
}

double LatencySamples::quantileMs(double part) const
{
    if (m_count == 0)
        return 0;
    double sum = 0;
    const auto &axis = m_bins.axis(0);
    for (int i = 0; i < axis.size(); ++i) {
        sum += m_bins.at(i);
        if (sum >= part * static_cast<double>(m_count))
            return axis.bin(i).upper();
    }
    return highestMs;
}

} // namespace berylridge
