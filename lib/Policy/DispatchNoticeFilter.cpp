#include "berylridge/Policy/DispatchNoticeFilter.h"

#include <algorithm>
#include <cmath>

namespace berylridge {

bool DispatchNoticeFilter::accepts(Duration busy, std::size_t nodes, TimePoint now)
{
    const double decay = std::exp(-toSeconds(now - m_decayedAt) / thresholdDecaySeconds);
    m_decayedAt = now;
    m_thresholdMs = std::max(m_thresholdMs * decay, minBusyMs);
    if (toSeconds(busy) * 1000 < m_thresholdMs)
        return false;
    const double senders = static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double allowedPerSecond = maxReceivedPerSecond / senders;
    m_thresholdMs *= std::exp(1 / (allowedPerSecond * thresholdDecaySeconds));
    return true;
}

} // namespace berylridge
