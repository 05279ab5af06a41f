// The short files that operators keep beside each service's code, and the workspaces file that
// services share. The publishing step turns them into documents.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Documents.h"

#include <map>
#include <string>
#include <string_view>

namespace berylridge {

/// Who the workspaces are, once for all services:
///
///     "workspaces": {"bat-trang": "<digest of its key>", "hue": "<digest>"},
///     "groups": {"potters": {"bat-trang": 3, "hue": 1}}
///
/// A group gives each of its workspaces a weight. Groups and workspaces share one set of names.
struct WorkspacesFile
{
    std::map<std::string, std::string> credentialDigests;
    std::map<std::string, std::map<std::string, double>> groups;
};

ReadResult<WorkspacesFile> readWorkspacesFile(std::string_view file, std::string_view text);

/// Reads a service file. It has the limits of a service document by the same names, and besides:
///
///     "targets": {"a": {"a1": "10.0.2.1:9001", "a2": {"at": "10.0.2.2:9001", "isLeaving": true}}},
///     "routes": {"POST /lookup": "idempotent", "GET /draw": "once"},
///     "workspaces": {"potters": 1, "hue": {"weight": 2, "queueLimit": 16}}
///
/// Targets stand by zone and are published as "SERVICE.NAME", so that services can't clash. A
/// group's number multiplies the weights in the group; a workspace's own entry goes before its
/// groups'.
ReadResult<ServiceDocument> readServiceFile(std::string_view file, std::string_view text,
                                            const WorkspacesFile &workspaces);

} // namespace berylridge
