// Limits retries to a ratio of the first attempts, so that a fault that fails every attempt does
// not multiply the load.
#pragma once

#include "berylridge/Support/Time.h"

namespace berylridge {

class RetryBudget
{
public:
    void setRatio(double ratio) { m_ratio = ratio; }

    void onFirstAttempt();
    /// Takes one retry from the budget if one is left.
    bool tryTake();

private:
    /// Initial retries are free, so that a service with little traffic can retry at all.
    static constexpr double initialTokens = 10;
    static constexpr double tokenLimit = 100;

    double m_ratio = 0.1;
    double m_tokens = initialTokens;
};

} // namespace berylridge
