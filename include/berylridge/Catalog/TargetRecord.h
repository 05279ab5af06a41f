// Defines the platform's records of targets and zones. Each entry carries the platform's revision
// of its last change; a newer revision always replaces an older one, whichever node relays it.
#pragma once

#include "berylridge/Support/VersionKey.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace berylridge {

struct TargetRecord
{
    std::string id;
    std::uint64_t revision = 0; ///< Platform revision of this entry's last change.
    bool isRemoved = false;     ///< The entry was removed; the fields below are not set.
    std::string service;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    std::string zone;
    std::uint32_t slots = 0; ///< Number of requests that the target runs concurrently.
    bool isDraining = false; ///< The target is shutting down and receives no new requests.
    /// Remaining time in the cold state when the record was written.
    std::uint32_t coldRemainingMs = 0;
    /// Unix time of the target's start; distinguishes one boot from the next.
    std::int64_t startedAtMs = 0;
    /// Time for which the sender still uses a target that was removed during a platform outage,
    /// because it may be healthy.
    std::uint32_t usableForMs = 0;
    /// Version of the target's software, compared for equality only. Empty if it is not known.
    std::string softwareVersion {};
    MSGPACK_DEFINE(id, revision, isRemoved, service, address, port, zone, slots, isDraining,
                   coldRemainingMs, startedAtMs, usableForMs, softwareVersion)
};

/// Returns the key of the target's software version. Where the version is not known, each boot of a
/// target has a key of its own.
VersionKey versionKeyOf(const TargetRecord &record);

/// Records whether an operator has evacuated a zone, whose targets then receive no new requests.
struct ZoneRecord
{
    std::string zone;
    std::uint64_t revision = 0;
    bool isEvacuated = false;
    MSGPACK_DEFINE(zone, revision, isEvacuated)
};

/// Carries some or all entries of the directory.
struct DirectoryUpdate
{
    std::uint64_t revision = 0; ///< Platform revision up to which the update is complete.
    /// Entries that are neither listed nor newer than the snapshot have been removed.
    bool isFullSnapshot = false;
    /// A receiver of all earlier updates knows everything up to `revision`.
    bool isComplete = true;
    std::vector<TargetRecord> targets;
    std::vector<ZoneRecord> zones;
    /// Changes up to this revision are left out; 0 if none are.
    std::uint64_t sinceRevision = 0;
    MSGPACK_DEFINE(revision, isFullSnapshot, isComplete, targets, zones, sinceRevision)
};

} // namespace berylridge
