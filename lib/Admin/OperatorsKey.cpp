// Checks the operators' key by its digest.
#include "berylridge/Admin/AdminApi.h"
#include "berylridge/Support/Hash.h"

#include <sodium.h>

namespace berylridge {

bool isOperatorsKey(std::string_view authorization, std::string_view operatorsKeyDigest)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return false;
    const auto digest = credentialDigest(authorization.substr(scheme.size()));
    // A comparison that ends at the first wrong digit would tell by its time how far a guess is
    // right; digests have one length, so this one takes the same time for every key.
    return digest.size() == operatorsKeyDigest.size()
        && sodium_memcmp(digest.data(), operatorsKeyDigest.data(), digest.size()) == 0;
}

} // namespace berylridge
