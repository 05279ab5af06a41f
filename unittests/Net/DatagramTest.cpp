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

std::string sealed(const std::vector<PeerMessage> &messages)
{
    std::vector<std::string> packed;
    packed.reserve(messages.size());
    for (const PeerMessage &message : messages)
        packed.push_back(packPeerMessage(message));
    return DatagramSealer(NodeId("a1"), 42, key).seal(packed);
}

/// Seals bytes of the test's own, as a node of another release might.
std::string sealedBytes(std::string body)
{
    std::array<std::byte, authenticatorSize> tag {};
    computeAuthenticator(key, bytesOf(body), tag);
    body.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    return body;
}

PeerMessage heartbeat(std::uint64_t sequence)
{
    Heartbeat beat;
    beat.sequence = sequence;
    return FleetMessage(beat);
}

TEST(DatagramTest, bringsMessagesBack)
{
    KeyClaim claim;
    claim.key = "shop/potters/k1";
    claim.roster = 3;
    const auto opened = openDatagram(key, bytesOf(sealed({heartbeat(5), KeyMessage(claim)})));
    ASSERT_TRUE(opened) << opened.failureReason();
    EXPECT_EQ(opened->from, NodeId("a1"));
    EXPECT_EQ(opened->incarnation, 42U);
    ASSERT_EQ(opened->messages.size(), 2U);
    EXPECT_EQ(std::get<Heartbeat>(std::get<FleetMessage>(opened->messages[0])).sequence, 5U);
    EXPECT_EQ(std::get<KeyClaim>(std::get<KeyMessage>(opened->messages[1])).key, claim.key);
}

TEST(DatagramTest, capacityLeavesRoomForTheEnvelope)
{
    const DatagramSealer sealer(NodeId("a1"), ~0ULL, key);
    const std::vector<std::string> packed(sealer.capacity(), std::string(1, '\0'));
    EXPECT_LE(sealer.seal(packed).size(), datagramLimit);
}

TEST(DatagramTest, refusesOneChangedBit)
{
    const std::string good = sealed({heartbeat(5)});
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 1);
        EXPECT_FALSE(openDatagram(key, bytesOf(bad))) << "byte " << i;
    }
    EXPECT_FALSE(openDatagram("another key of thirty-two bytes!", bytesOf(good)));
}

TEST(DatagramTest, skipsKindsAndFieldsOfANewerRelease)
{
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(5); // One more than this release knows.
    packer.pack(1U);
    packer.pack("b2");
    packer.pack(9U);
    packer.pack_array(2);
    packer.pack_array(2);
    packer.pack(9999U); // A kind of a newer release.
    packer.pack("whatever");
    packer.pack_array(2);
    packer.pack(0U);
    packer.pack_array(1); // A heartbeat of an older release.
    packer.pack(17U);
    packer.pack("more");
    const auto opened
        = openDatagram(key, bytesOf(sealedBytes(std::string(buffer.data(), buffer.size()))));
    ASSERT_TRUE(opened) << opened.failureReason();
    EXPECT_EQ(opened->unknownMessages, 1U);
    ASSERT_EQ(opened->messages.size(), 1U);
    EXPECT_EQ(std::get<Heartbeat>(std::get<FleetMessage>(opened->messages[0])).sequence, 17U);
}

TEST(DatagramTest, refusesAuthenticNonsense)
{
    EXPECT_FALSE(openDatagram(key, bytesOf(sealedBytes("nonsense"))));
    EXPECT_FALSE(openDatagram(key, bytesOf(sealedBytes("\xdd\xff\xff\xff\xff"))));
    EXPECT_FALSE(openDatagram(key, {}));
}

TEST(DatagramTest, eachKindHasItsOwnName)
{
    std::set<std::string_view> names;
    for (std::size_t kind = 0; kind < peerMessageKinds; ++kind)
        names.insert(peerMessageKindName(kind));
    EXPECT_EQ(names.size(), peerMessageKinds);
    EXPECT_EQ(peerMessageKindName(peerMessageKind(heartbeat(1))), "Heartbeat");
}

} // namespace
} // namespace berylridge
