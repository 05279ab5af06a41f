// What all commands that speak to routers have in common: their options, and asking many at once.
#pragma once

#include "berylridge/Admin/RpcClient.h"
#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Config/Publication.h"
#include "berylridge/Support/Endpoint.h"

#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace berylridge::ctl {

struct RouterReply
{
    Endpoint router;
    RpcReply reply;
};

class RouterClient
{
public:
    /// Adds --router, --key-file, --timeout and --who to the line, which must outlive this. Where
    /// no router needs to be given, no key is asked for without one.
    explicit RouterClient(CommandLine &line, bool isRequired = true);

    /// The exit status where the program should end at once.
    std::optional<int> parse(int argc, const char *const *argv);

    const std::vector<Endpoint> &routers() const { return m_endpoints; }
    RpcReply call(const Endpoint &router, const std::string &method, Json::Value parameters) const;
    /// Asks all routers, several at a time. Replies stand in the order of the options.
    std::vector<RouterReply> callAll(const std::string &method,
                                     const Json::Value &parameters) const;

private:
    std::optional<std::string> readKey();

    CommandLine &m_line;
    TCLAP::MultiArg<std::string> m_routers;
    TCLAP::ValueArg<std::string> m_keyFile;
    TCLAP::ValueArg<unsigned> m_timeout;
    TCLAP::ValueArg<std::string> m_who;
    std::vector<Endpoint> m_endpoints;
    std::string m_key;
};

/// The documents of a folder, unless its name is empty, and those in force at the routers, each in
/// its highest version. None where one could not be had, which is excluded.
std::optional<DocumentSet> publishedDocuments(const std::string &folder,
                                              const RouterClient &client);

/// Prints what failed, by router; the exit status is fine where nothing did.
int reportFailures(const std::vector<RouterReply> &replies);

/// For the help of these commands.
inline const char *const routerClientEnvironmentHelp
    = "BERYLRIDGE_OPERATORS_KEY  the operators' key, where --key-file is not given\n"
      "USER                      named in the audit trail, where --who is not given";

} // namespace berylridge::ctl
