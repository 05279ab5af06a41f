// What the platform lists of targets and zones: each entry bears the platform's revision of its
// last change, and a newer revision of an entry always wins, whoever passes it on.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace berylridge {

struct TargetRecord
{
    std::string id;
    std::uint64_t revision = 0; ///< The platform's, of this entry's last change.
    bool isRemoved = false;     ///< The entry is gone; the fields below say nothing.
    std::string service;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string zone;
    std::uint32_t slots = 0;           ///< Requests that it runs at once.
    bool isDraining = false;           ///< It leaves: no new work.
    std::uint32_t coldRemainingMs = 0; ///< How much longer it was cold when the entry was written.
    std::int64_t startedAtMs = 0;      ///< Unix time of its start; tells one start from the next.
    /// Removed while the platform was away, and to be used for so much longer: it may be well.
    std::uint32_t usableForMs = 0;
    MSGPACK_DEFINE(id, revision, isRemoved, service, address, port, zone, slots, isDraining,
                   coldRemainingMs, startedAtMs, usableForMs)
};

/// An operator's order that a zone's targets get nothing new.
struct ZoneRecord
{
    std::string zone;
    std::uint64_t revision = 0;
    bool isEvacuated = false;
    MSGPACK_DEFINE(zone, revision, isEvacuated)
};

/// Changes of the directory, or all of it.
struct DirectoryUpdate
{
    std::uint64_t revision = 0;  ///< The platform's revision up to which these are complete.
    bool isFullSnapshot = false; ///< Entries that are not listed and not newer are gone.
    bool isComplete
        = true; ///< With all earlier update, the receiver knows everything up to revision.
    std::vector<TargetRecord> targets;
    std::vector<ZoneRecord> zones;
    MSGPACK_DEFINE(revision, isFullSnapshot, isComplete, targets, zones)
};

} // namespace berylridge
