#include "berylridge/Policy/Rate.h"

#include <cmath>

namespace berylridge {

namespace {

constexpr double smoothingSeconds = 1.5;

} // namespace

double Rate::at(TimePoint now) const
{
    return m_rate * std::exp(-toSeconds(now - m_countedAt) / smoothingSeconds);
}

void Rate::add(double units, TimePoint now)
{
    m_rate = at(now) + units / smoothingSeconds;
    m_countedAt = now;
}

} // namespace berylridge
