// A smoothed rate of events.
#pragma once

#include "berylridge/Support/Time.h"

namespace berylridge {

/// Units a second, smoothed exponentially over 1.5 s: long enough for a few requests of a small
/// workspace, short beside the seconds over which shares are judged.
class Rate
{
public:
    void add(double units, TimePoint now);
    double at(TimePoint now) const;

private:
    double m_rate = 0;
    TimePoint m_countedAt {};
};

} // namespace berylridge
