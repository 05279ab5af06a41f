#include "berylridge/Net/Datagram.h"

#include "berylridge/Support/Hash.h"

#include <array>
#include <gtest/gtest.h>
#include <set>

namespace berylridge {
namespace {

const std::string key = "0123456789abcdef0123456789abcdef";

std::span<const std::byte> bytesOf(const std::string &text)
{
    return std::as_bytes(std::span(text));
}

std::string encodeMessages(const std::vector<PeerMessage> &messages)
{
    std::vector<std::string> packed;
    packed.reserve(messages.size());
    for (const PeerMessage &message : messages)
        packed.push_back(packPeerMessage(message));
    return DatagramEncoder(NodeId("a1"), 42, key).encode(packed);
}

/// Appends a valid authenticator to arbitrary bytes, such as a node of another release may send.
std::string withAuthenticator(std::string body)
{
    std::array<std::byte, authenticatorSize> authenticator {};
    computeAuthenticator(key, bytesOf(body), authenticator);
    body.append(reinterpret_cast<const char *>(authenticator.data()), authenticator.size());
    return body;
}

PeerMessage makeHeartbeat(std::uint64_t sequence)
{
    Heartbeat beat;
    beat.sequence = sequence;
    return FleetMessage(beat);
}

TEST(DatagramTest, roundTripsMessages)
{
    KeyClaim claim;
    claim.key = "shop/potters/k1";
    claim.roster = 3;
    const auto decoded
        = decodeDatagram(key, bytesOf(encodeMessages({makeHeartbeat(5), KeyMessage(claim)})));
    ASSERT_TRUE(decoded) << decoded.failureReason();
    EXPECT_EQ(decoded->from, NodeId("a1"));
    EXPECT_EQ(decoded->incarnation, 42U);
    ASSERT_EQ(decoded->messages.size(), 2U);
    EXPECT_EQ(std::get<Heartbeat>(std::get<FleetMessage>(decoded->messages[0])).sequence, 5U);
    EXPECT_EQ(std::get<KeyClaim>(std::get<KeyMessage>(decoded->messages[1])).key, claim.key);
}

TEST(DatagramTest, fullDatagramStaysWithinSizeLimit)
{
    const DatagramEncoder encoder(NodeId("a1"), ~0ULL, key);
    const std::vector<std::string> packed(encoder.capacity(), std::string(1, '\0'));
    EXPECT_LE(encoder.encode(packed).size(), maxDatagramBytes);
}

TEST(DatagramTest, rejectsAnyFlippedBit)
{
    const std::string good = encodeMessages({makeHeartbeat(5)});
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 1);
        EXPECT_FALSE(decodeDatagram(key, bytesOf(bad))) << "byte " << i;
    }
    EXPECT_FALSE(decodeDatagram("another key of thirty-two bytes!", bytesOf(good)));
}

TEST(DatagramTest, ignoresKindsAndFieldsOfNewerRelease)
{
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(5); // One element more than this release knows.
    packer.pack(1U);
    packer.pack("b2");
    packer.pack(9U);
    packer.pack_array(2);
    packer.pack_array(2);
    packer.pack(9999U); // A kind that only a newer release knows.
    packer.pack("whatever");
    packer.pack_array(2);
    packer.pack(0U);
    packer.pack_array(1); // A heartbeat of an older release, which has fewer fields.
    packer.pack(17U);
    packer.pack("more");
    const auto decoded = decodeDatagram(
        key, bytesOf(withAuthenticator(std::string(buffer.data(), buffer.size()))));
    ASSERT_TRUE(decoded) << decoded.failureReason();
    EXPECT_EQ(decoded->unknownMessageCount, 1U);
    ASSERT_EQ(decoded->messages.size(), 1U);
    EXPECT_EQ(std::get<Heartbeat>(std::get<FleetMessage>(decoded->messages[0])).sequence, 17U);
}

TEST(DatagramTest, rejectsAuthenticMalformedBytes)
{
    EXPECT_FALSE(decodeDatagram(key, bytesOf(withAuthenticator("nonsense"))));
    EXPECT_FALSE(decodeDatagram(key, bytesOf(withAuthenticator("\xdd\xff\xff\xff\xff"))));
    EXPECT_FALSE(decodeDatagram(key, {}));
}

TEST(DatagramTest, kindNamesAreUnique)
{
    std::set<std::string_view> names;
    for (std::size_t kind = 0; kind < peerMessageKindCount; ++kind)
        names.insert(peerMessageKindName(kind));
    EXPECT_EQ(names.size(), peerMessageKindCount);
    EXPECT_EQ(peerMessageKindName(peerMessageKind(makeHeartbeat(1))), "Heartbeat");
}

// Guards against a renamed message type that changes the values of the metrics' label `kind`.
TEST(DatagramTest, kindNamesInMetricsAreStable)
{
    const std::vector<std::string_view> expected = {"Heartbeat",
                                                    "ZoneView",
                                                    "DocumentsRequest",
                                                    "DocumentsReply",
                                                    "VmListMessage",
                                                    "PoolDemand",
                                                    "PoolGrant",
                                                    "PoolReturn",
                                                    "TargetNews",
                                                    "PoolService",
                                                    "CrashNews",
                                                    "Goodbye",
                                                    "PoolHandover",
                                                    "KeyClaim",
                                                    "KeyVote",
                                                    "KeyRelease",
                                                    "KeyQuery",
                                                    "KeyState",
                                                    "RosterNews",
                                                    "RosterProposal",
                                                    "RosterConsent",
                                                    "RosterDecision",
                                                    "LoadDigest",
                                                    "StateRequest",
                                                    "CatalogNews",
                                                    "DirectoryRelay",
                                                    "PlacementNews",
                                                    "ZoneLoadSummary",
                                                    "ZoneFlowSummary",
                                                    "DispatchNotice",
                                                    "StreamOriginUpdate",
                                                    "StreamOriginQuery",
                                                    "StreamOriginAnswer",
                                                    "InterruptedPartsUpdate",
                                                    "RerunNotice"};
    std::vector<std::string_view> names;
    for (std::size_t kind = 0; kind < peerMessageKindCount; ++kind)
        names.push_back(peerMessageKindName(kind));
    EXPECT_EQ(names, expected);
}

} // namespace
} // namespace berylridge
