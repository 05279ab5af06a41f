// Sets thread names, which process listings and profilers show.
#pragma once

#include <pthread.h>
#include <string>

namespace berylridge {

/// Names the calling thread; at most 15 characters.
inline void setThreadName(const std::string &name)
{
    pthread_setname_np(pthread_self(), name.c_str());
}

} // namespace berylridge
