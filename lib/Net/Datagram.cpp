#include "berylridge/Net/Datagram.h"

#include "berylridge/Support/Hash.h"

#include <array>
#include <cassert>
#include <msgpack.hpp>
#include <utility>

namespace berylridge {

namespace {

constexpr std::uint32_t datagramFormatVersion = 1;
/// Fleet messages are numbered from 0, the other variants from here, so that each can grow.
constexpr std::uint32_t firstKeyType = 100;
constexpr std::uint32_t firstBalancerType = 200;
/// Maximum size of the array and number headers around the packed messages, without the node's
/// name.
constexpr std::size_t maxEnvelopeBytes = 32;
/// These limit what the length fields of a datagram can make the parser allocate.
constexpr std::size_t maxListElements = 1 << 16;
constexpr std::size_t maxTextBytes = 8 << 20;
constexpr std::size_t maxNestingDepth = 16;

constexpr std::size_t fleetKindCount = std::variant_size_v<FleetMessage>;
constexpr std::size_t keyKindCount = std::variant_size_v<KeyMessage>;
constexpr std::size_t balancerKindCount = std::variant_size_v<BalancerMessage>;

/// Returns the name of a type without its namespace, as the compiler prints it. A hand-written list
/// of names would have to be updated with every change of the message variants.
template <typename T>
constexpr std::string_view typeName()
{
    constexpr std::string_view prefix = "T = berylridge::";
    const std::string_view text = __PRETTY_FUNCTION__;
    const std::size_t begin = text.find(prefix) + prefix.size();
    return text.substr(begin, text.find_first_of(";]", begin) - begin);
}

/// The metrics' label `kind` shows these names, so a type whose name in code changes keeps its name
/// there.
template <>
constexpr std::string_view typeName<TargetObservation>()
{
    return "TargetNews";
}

template <>
constexpr std::string_view typeName<PoolUsage>()
{
    return "PoolService";
}

template <>
constexpr std::string_view typeName<CrashReport>()
{
    return "CrashNews";
}

template <>
constexpr std::string_view typeName<CatalogUpdate>()
{
    return "CatalogNews";
}

template <>
constexpr std::string_view typeName<PlacementUpdate>()
{
    return "PlacementNews";
}

template <>
constexpr std::string_view typeName<RosterUpdate>()
{
    return "RosterNews";
}

template <>
constexpr std::string_view typeName<RosterProposalReply>()
{
    return "RosterConsent";
}

template <typename MessageVariant, std::size_t... Indices>
constexpr auto typeNames(std::index_sequence<Indices...>)
{
    return std::array<std::string_view, sizeof...(Indices)> {
        typeName<std::variant_alternative_t<Indices, MessageVariant>>()...};
}

constexpr auto fleetNames = typeNames<FleetMessage>(std::make_index_sequence<fleetKindCount>());
constexpr auto keyNames = typeNames<KeyMessage>(std::make_index_sequence<keyKindCount>());
constexpr auto balancerNames
    = typeNames<BalancerMessage>(std::make_index_sequence<balancerKindCount>());
static_assert(fleetNames[0] == "Heartbeat");

std::span<const std::byte> bytesOf(const std::string &text)
{
    return std::as_bytes(std::span(text));
}

template <typename MessageVariant, std::size_t Index>
PeerMessage parseAs(const msgpack::object &body)
{
    return PeerMessage(MessageVariant(
        std::in_place_index<Index>, body.as<std::variant_alternative_t<Index, MessageVariant>>()));
}

using ParseFunction = PeerMessage (*)(const msgpack::object &);

template <typename MessageVariant, std::size_t... Indices>
constexpr auto parsers(std::index_sequence<Indices...>)
{
    return std::array<ParseFunction, sizeof...(Indices)> {&parseAs<MessageVariant, Indices>...};
}

constexpr auto fleetParsers = parsers<FleetMessage>(std::make_index_sequence<fleetKindCount>());
constexpr auto keyParsers = parsers<KeyMessage>(std::make_index_sequence<keyKindCount>());
constexpr auto balancerParsers
    = parsers<BalancerMessage>(std::make_index_sequence<balancerKindCount>());

ParseFunction parserOf(std::uint32_t type)
{
    if (type < fleetKindCount)
        return fleetParsers[type];
    if (type >= firstKeyType && type - firstKeyType < keyKindCount)
        return keyParsers[type - firstKeyType];
    if (type >= firstBalancerType && type - firstBalancerType < balancerKindCount)
        return balancerParsers[type - firstBalancerType];
    return nullptr;
}

/// Returns the elements of an array that has at least minSize of them; throws msgpack::type_error
/// otherwise.
std::span<const msgpack::object> arrayOf(const msgpack::object &object, std::size_t minSize)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < minSize)
        throw msgpack::type_error();
    return {object.via.array.ptr, object.via.array.size};
}

void parseMessages(const msgpack::object &list, Datagram &datagram)
{
    for (const msgpack::object &entry : arrayOf(list, 0)) {
        const auto parts = arrayOf(entry, 2);
        const ParseFunction parse = parserOf(parts[0].as<std::uint32_t>());
        if (parse == nullptr) {
            ++datagram.unknownMessageCount;
            continue;
        }
        datagram.messages.push_back(parse(parts[1]));
    }
}

Expected<Datagram> parseEnvelope(std::span<const std::byte> bytes)
{
    const msgpack::unpack_limit limit(maxListElements, 0, maxTextBytes, maxTextBytes, 0,
                                      maxNestingDepth);
    const std::string_view text(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    try {
        std::size_t offset = 0;
        const auto handle
            = msgpack::unpack(text.data(), text.size(), offset, nullptr, nullptr, limit);
        const auto parts = arrayOf(handle.get(), 4);
        if (parts[0].as<std::uint32_t>() != datagramFormatVersion)
            return Reason {"datagram has an unknown format version"};
        Datagram datagram;
        datagram.from = NodeId(parts[1].as<std::string>());
        datagram.incarnation = parts[2].as<Incarnation>();
        parseMessages(parts[3], datagram);
        return datagram;
    } catch (const std::exception &error) {
        return Reason {std::string("datagram is malformed: ") + error.what()};
    }
}

} // namespace

std::size_t peerMessageKind(const PeerMessage &message)
{
    if (const auto *fleet = std::get_if<FleetMessage>(&message))
        return fleet->index();
    if (const auto *key = std::get_if<KeyMessage>(&message))
        return fleetKindCount + key->index();
    return fleetKindCount + keyKindCount + std::get<BalancerMessage>(message).index();
}

std::string_view peerMessageKindName(std::size_t kind)
{
    assert(kind < peerMessageKindCount && "no message kind has this number");
    if (kind < fleetKindCount)
        return fleetNames[kind];
    kind -= fleetKindCount;
    return kind < keyKindCount ? keyNames[kind] : balancerNames[kind - keyKindCount];
}

namespace {

template <typename MessageVariant>
void packAs(msgpack::packer<msgpack::sbuffer> &packer, std::uint32_t firstType,
            const MessageVariant &message)
{
    packer.pack(firstType + static_cast<std::uint32_t>(message.index()));
    std::visit([&](const auto &body) { packer.pack(body); }, message);
}

} // namespace

std::string packPeerMessage(const PeerMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(2);
    if (const auto *fleet = std::get_if<FleetMessage>(&message))
        packAs(packer, 0, *fleet);
    else if (const auto *key = std::get_if<KeyMessage>(&message))
        packAs(packer, firstKeyType, *key);
    else
        packAs(packer, firstBalancerType, std::get<BalancerMessage>(message));
    return {buffer.data(), buffer.size()};
}

DatagramEncoder::DatagramEncoder(NodeId from, Incarnation incarnation, std::string fleetKey)
    : m_from(std::move(from))
    , m_incarnation(incarnation)
    , m_fleetKey(std::move(fleetKey))
{
    assert(m_from.str().size() < maxDatagramBytes / 2 && "node name leaves no room for messages");
}

std::size_t DatagramEncoder::capacity() const
{
    return maxDatagramBytes - authenticatorSize - maxEnvelopeBytes - m_from.str().size();
}

std::string DatagramEncoder::encode(std::span<const std::string> packedMessages) const
{
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(4);
    packer.pack(datagramFormatVersion);
    packer.pack(m_from.str());
    packer.pack(m_incarnation);
    packer.pack_array(static_cast<std::uint32_t>(packedMessages.size()));
    for (const std::string &message : packedMessages)
        buffer.write(message.data(), message.size());
    std::string encoded(buffer.data(), buffer.size());
    std::array<std::byte, authenticatorSize> authenticator {};
    computeAuthenticator(m_fleetKey, bytesOf(encoded), authenticator);
    encoded.append(reinterpret_cast<const char *>(authenticator.data()), authenticator.size());
    return encoded;
}

Expected<Datagram> decodeDatagram(std::string_view fleetKey, std::span<const std::byte> bytes)
{
    if (bytes.size() <= authenticatorSize)
        return Reason {"datagram is shorter than its authenticator"};
    const auto body = bytes.first(bytes.size() - authenticatorSize);
    if (!isAuthentic(fleetKey, body, bytes.last<authenticatorSize>()))
        return Reason {"datagram failed authentication"};
    return parseEnvelope(body);
}

} // namespace berylridge
