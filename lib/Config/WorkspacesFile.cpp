// Reads the workspaces file.
#include "berylridge/Config/ServiceFile.h"

#include "ServiceFields.h"

namespace berylridge {

namespace {

void readDigests(FieldReader &fields, WorkspacesFile &workspaces)
{
    UniquenessCheck unique(fields.source(), "another workspace has the same digest");
    fields.members(
        "workspaces",
        [&](const std::string &name, const Json::Value &member, const std::string &path) {
            if (!nameRule.isAllowed(name)) {
                fields.source().report(member, path,
                                       "its name must be " + std::string(nameRule.allowed));
            }
            auto digest = readText(fields.source(), member, path, digestRule);
            unique.check(member, path, digest.value_or(""));
            workspaces.credentialDigests[name] = digest.value_or("");
        },
        Presence::Required);
}

void readGroup(JsonSource &source, const Json::Value &group, const std::string &path,
               const WorkspacesFile &workspaces, std::map<std::string, double> &weights)
{
    FieldReader fields(source, group, path);
    for (const auto &name : fields.names()) {
        double weight = 1;
        fields.number(name, weight, minWeight, maxWeight);
        if (!workspaces.credentialDigests.contains(name))
            fields.report(name, "names no workspace of this file");
        weights[name] = weight;
    }
    fields.finish();
}

void readGroups(FieldReader &fields, WorkspacesFile &workspaces)
{
    fields.members(
        "groups", [&](const std::string &name, const Json::Value &member, const std::string &path) {
            if (!nameRule.isAllowed(name)) {
                fields.source().report(member, path,
                                       "its name must be " + std::string(nameRule.allowed));
            }
            if (workspaces.credentialDigests.contains(name))
                fields.source().report(member, path, "a workspace has the same name");
            readGroup(fields.source(), member, path, workspaces, workspaces.groups[name]);
        });
}

} // namespace

ReadResult<WorkspacesFile> readWorkspacesFile(std::string_view file, std::string_view text)
{
    return readRoot<WorkspacesFile>(file, text,
                                    [](FieldReader &fields, WorkspacesFile &workspaces) {
                                        readDigests(fields, workspaces);
                                        readGroups(fields, workspaces);
                                    });
}

} // namespace berylridge
