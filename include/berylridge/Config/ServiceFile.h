// Service files, which operators keep beside each service's code, and the workspaces file, which
// all services share. The publishing step converts them to documents.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Documents.h"

#include <map>
#include <string>
#include <string_view>

namespace berylridge {

/// Defines the workspaces for all services:
///
///     "workspaces": {"bat-trang": "<digest of its key>", "hue": "<digest>"},
///     "groups": {"potters": {"bat-trang": 3, "hue": 1}}
///
/// A group assigns a weight to each of its workspaces. Groups and workspaces share one namespace.
struct WorkspacesFile
{
    std::map<std::string, std::string> credentialDigests;
    std::map<std::string, std::map<std::string, double>> groups;
};

ReadResult<WorkspacesFile> readWorkspacesFile(std::string_view file, std::string_view text);

/// Reads a service file. It contains the limits of a service document under the same names, and
/// also:
///
///     "targets": {"a": {"a1": "10.0.2.1:9001", "a2": {"at": "10.0.2.2:9001", "isLeaving": true}}},
///     "routes": {"POST /lookup": "idempotent", "GET /draw": "once"},
///     "workspaces": {"potters": 1, "hue": {"weight": 2, "queueLimit": 16}}
///
/// Targets are listed by zone and published as "SERVICE.NAME", so that names of different services
/// do not collide. A group's number multiplies the weights in the group. A workspace's own entry
/// takes precedence over its groups.
ReadResult<ServiceDocument> readServiceFile(std::string_view file, std::string_view text,
                                            const WorkspacesFile &workspaces);

} // namespace berylridge
