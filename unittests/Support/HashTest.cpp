#include "berylridge/Support/Hash.h"

#include <array>
#include <gtest/gtest.h>

using namespace berylridge;

namespace {

constexpr std::string_view fleetKey = "0123456789abcdef0123456789abcdef";

std::span<const std::byte> bytesOf(std::string_view text)
{
    return std::as_bytes(std::span(text));
}

} // namespace

// A datagram that was changed in transit or authenticated with another fleet's key must have no
// effect: its authenticator does not match, and the receiver drops it before decoding it.
TEST(Hash, ChangedBytesOrAnotherKeyAreNotAuthentic)
{
    std::array<std::byte, authenticatorSize> tag {};
    computeAuthenticator(fleetKey, bytesOf("heartbeat"), tag);

    EXPECT_TRUE(isAuthentic(fleetKey, bytesOf("heartbeat"), tag));
    EXPECT_FALSE(isAuthentic(fleetKey, bytesOf("heartbeau"), tag));
    EXPECT_FALSE(isAuthentic("another-fleet-key-another-fleet-", bytesOf("heartbeat"), tag));
}

TEST(Hash, RendezvousReassignsOnlySubjectsOfTheRemovedNode)
{
    const std::array<std::string_view, 3> nodes {"n1", "n2", "n3"};
    const auto winner = [&](std::string_view subject, std::size_t count) {
        std::size_t best = 0;
        for (std::size_t i = 1; i < count; ++i) {
            if (rendezvousWeight(subject, nodes[i]) > rendezvousWeight(subject, nodes[best]))
                best = i;
        }
        return best;
    };
    for (int i = 0; i < 200; ++i) {
        const std::string subject = "target-" + std::to_string(i);
        const auto whole = winner(subject, 3);
        if (whole != 2) {
            EXPECT_EQ(whole, winner(subject, 2)) << subject;
        }
    }
}

TEST(Hash, CredentialDigestIsBlake2b)
{
    // BLAKE2b-256 of the empty string, as in the algorithm's published test vectors.
    EXPECT_EQ(credentialDigest(""),
              "0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8");
}
