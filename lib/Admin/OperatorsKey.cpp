// Verifies the operators' key against its digest.
#include "berylridge/Admin/AdminApi.h"
#include "berylridge/Support/Hash.h"

namespace berylridge {

bool isOperatorsKey(std::string_view authorization, std::string_view operatorsKeyDigest)
{
    constexpr std::string_view scheme = "Bearer ";
    return authorization.starts_with(scheme)
        && matchesDigest(authorization.substr(scheme.size()), operatorsKeyDigest);
}

} // namespace berylridge
