#include "berylridge/Policy/RetryBudget.h"

#include <algorithm>

namespace berylridge {

void RetryBudget::onFirstAttempt()
{
    m_tokens = std::min(m_tokens + m_ratio, tokenLimit);
}

bool RetryBudget::tryTake()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace berylridge
