// Encodes the datagrams between nodes: several messages, packed with MessagePack, in one
// authenticated datagram.
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

/// Maximum size of a datagram, including its authenticator. It is below the smallest path MTU that
/// is common.
inline constexpr std::size_t maxDatagramBytes = 1200;

/// Number of message kinds; kinds are numbered from 0 across the three message variants.
inline constexpr std::size_t peerMessageKindCount
    = std::variant_size_v<
          FleetMessage> + std::variant_size_v<KeyMessage> + std::variant_size_v<BalancerMessage>;

/// Returns the kind of a message, which is below peerMessageKindCount.
std::size_t peerMessageKind(const PeerMessage &message);

/// Returns the name of a kind, as the metrics show it.
std::string_view peerMessageKindName(std::size_t kind);

/// Packs one message in the form that a datagram contains: [type, body].
std::string packPeerMessage(const PeerMessage &message);

/// Encodes packed messages of one node into authenticated datagrams.
class DatagramEncoder
{
public:
    DatagramEncoder(NodeId from, Incarnation incarnation, std::string fleetKey);

    /// Returns how many bytes of packed messages fit into one datagram.
    std::size_t capacity() const;

    /// Returns one datagram with the packed messages. It is larger than maxDatagramBytes if they
    /// exceed capacity(); such a datagram is sent by an RPC call instead of UDP.
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
    std::uint32_t unknownMessageCount = 0; ///< Skipped messages of kinds that only a newer
                                           ///< release knows.
};

/// Verifies the authenticator, then parses the messages. A datagram that fails authentication isn't
/// parsed.
Expected<Datagram> decodeDatagram(std::string_view fleetKey, std::span<const std::byte> bytes);

} // namespace berylridge
