#include "berylridge/Policy/Rate.h"

#include <cmath>

namespace berylridge {

double Rate::at(TimePoint now) const
{
    return m_rate * std::exp(-toSeconds(now - m_countedAt) / m_smoothingSeconds);
}

void Rate::add(double units, TimePoint now)
{
    m_rate = at(now) + units / m_smoothingSeconds;
    m_countedAt = now;
}

} // namespace berylridge
