// Reads how much processor time threads have used.
#pragma once

#include "berylridge/Support/Time.h"

#include <ctime>

namespace berylridge {

/// Returns the time of a clock of clock_gettime(); 0 if it can't be read.
inline Duration processorTimeOf(clockid_t clock)
{
    timespec used {};
    if (clock_gettime(clock, &used) != 0)
        return Duration(0);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(used.tv_sec)
                                                + std::chrono::nanoseconds(used.tv_nsec));
}

/// Returns the processor time that the calling thread has used.
inline Duration threadProcessorTime()
{
    return processorTimeOf(CLOCK_THREAD_CPUTIME_ID);
}

/// Returns the processor time that all threads of the process have used.
inline Duration processProcessorTime()
{
    return processorTimeOf(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace berylridge
