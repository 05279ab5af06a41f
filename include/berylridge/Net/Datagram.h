// The datagrams between nodes: several messages packed by MessagePack into one sealed datagram.
#pragma once

#include "berylridge/Fleet/BalancerMessages.h"
#include "berylridge/Fleet/Messages.h"
#include "berylridge/Idempotency/Messages.h"
#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Id.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace berylridge {

using PeerMessage = std::variant<FleetMessage, KeyMessage, BalancerMessage>;

/// Bytes of a datagram, its authenticator included: below the smallest usual path MTU.
inline constexpr std::size_t maxDatagramBytes = 1200;

/// Kinds of messages, counted from 0 over all vocabularies.
inline constexpr std::size_t peerMessageKindCount
    = std::variant_size_v<
          FleetMessage> + std::variant_size_v<KeyMessage> + std::variant_size_v<BalancerMessage>;

/// Which kind a message is, below peerMessageKindCount.
std::size_t peerMessageKind(const PeerMessage &message);

/// The name of a kind, as metrics show it.
std::string_view peerMessageKindName(std::size_t kind);

/// Packs one message as it stands in a datagram: [type, body].
std::string packPeerMessage(const PeerMessage &message);

/// Seals packed messages of one node into datagrams.
class DatagramEncoder
{
public:
    DatagramEncoder(NodeId from, Incarnation incarnation, std::string fleetKey);

    /// Bytes of packed messages that one datagram holds.
    std::size_t capacity() const;

    /// One datagram of the packed messages. Larger than maxDatagramBytes where they exceed
    /// capacity(); such a one travels by call.
    std::string encode(std::span<const std::string> packedMessages) const;

private:
    NodeId m_from;
    Incarnation m_incarnation;
    std::string m_fleetKey;
};

struct Datagram
{
    NodeId from;
    Incarnation incarnation = 0;
    std::vector<PeerMessage> messages;
    std::uint32_t unknownMessageCount = 0; ///< Of a newer release; skipped.
};

/// Checks the encode, then reads the messages. Nothing of an unauthentic datagram is looked at.
Expected<Datagram> decodeDatagram(std::string_view fleetKey, std::span<const std::byte> bytes);

} // namespace berylridge
