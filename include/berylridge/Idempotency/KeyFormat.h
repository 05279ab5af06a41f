// What the text of an idempotency key tells: when it was made, and by which node if one issued it.
#pragma once

#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace berylridge {

enum class KeyKind : std::uint8_t {
    Timestamped, ///< A UUIDv7 (RFC 9562): tells when it was made.
    Opaque,      ///< Any other text of the caller's: tells nothing.
    Issued,      ///< Made by a node, whose memory alone admits it.
};

struct ParsedKey
{
    KeyKind kind = KeyKind::Opaque;
    WallTime createdAt; ///< Of timed and issued keys.
    NodeId issuer;
    Incarnation issuerIncarnation = 0;
    std::uint64_t sequence = 0; ///< Counts the issuer's keys from 1.
};

/// The form in which keys go through the component: service and workspace before the caller's own
/// text, so that two workspaces never share a key.
std::string scopedKey(const ServiceId &service, const WorkspaceId &workspace,
                      std::string_view callerKey);

/// Reads the caller's part of a scoped key. Any text is a key: what can't be read is opaque.
ParsedKey parseKey(std::string_view scopedKey);

/// The text of an issued key, as the caller gets it.
std::string formatIssuedKey(const ParsedKey &text);

} // namespace berylridge
