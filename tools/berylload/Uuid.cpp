#include "Uuid.h"

#include <iomanip>
#include <sstream>

namespace berylridge {

std::string uuidV7(WallTime now, RandomEngine &random)
{
    const auto ms = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t low = (random() & 0x3fffffffffffffffU) | 0x8000000000000000U;
    std::ostringstream text;
    const auto appendHex = [&text](std::uint64_t value, int digits) {
        text << std::hex << std::setfill('0') << std::setw(digits) << value;
    };
    appendHex(ms >> 16, 8);
    text << '-';
    appendHex(ms & 0xffffU, 4);
    text << '-';
    appendHex(0x7000U | (random() & 0x0fffU), 4);
    text << '-';
    appendHex(low >> 48, 4);
    text << '-';
    appendHex(low & 0xffffffffffffU, 12);
    return text.str();
}

} // namespace berylridge
