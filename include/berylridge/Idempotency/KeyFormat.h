// Parses and formats idempotency keys. The text of a key states when it was created and, for an
// issued key, which process issued it.
#pragma once

#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace berylridge {

enum class KeyKind : std::uint8_t {
    Timestamped, ///< A UUIDv7 (RFC 9562), which contains its creation time.
    Opaque,      ///< Any other text that a caller chose; its creation time is unknown.
    Issued,      ///< Created by a router process, which alone admits it from its own memory.
};

struct ParsedKey
{
    KeyKind kind = KeyKind::Opaque;
    WallTime createdAt; ///< Set for timestamped and issued keys only.
    NodeId issuer;
    Incarnation issuerIncarnation = 0;
    std::uint64_t sequence = 0; ///< Counts the keys of the issuer from 1.
};

/// Returns the form in which the component handles keys: service and workspace precede the caller's
/// own text, so that two workspaces never share a key.
std::string scopedKey(const ServiceId &service, const WorkspaceId &workspace,
                      std::string_view callerKey);

/// Parses the caller's part of a scoped key. Any text is a valid key: text in no known format is
/// opaque.
ParsedKey parseKey(std::string_view scopedKey);

/// Returns the text of an issued key as the caller receives it.
std::string formatIssuedKey(const ParsedKey &key);

} // namespace berylridge
