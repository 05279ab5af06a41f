// Common parts of all commands that call routers: their options, and calls to many routers.
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
    /// Adds --router, --key-file, --timeout and --who to the command line, which must outlive this
    /// object. If isRequired is false, --router may be omitted, and then no key is needed.
    explicit RouterClient(CommandLine &line, bool isRequired = true);

    /// Returns an exit status if the program should exit at once.
    std::optional<int> parse(int argc, const char *const *argv);

    const std::vector<Endpoint> &routers() const { return m_endpoints; }
    RpcReply call(const Endpoint &router, const std::string &method, Json::Value parameters) const;
    /// Calls all routers, several at a time. The replies are in the order of the options.
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

/// Returns the documents of a folder, unless its name is empty, and the active ones of the routers,
/// each in its highest version. Prints an error and returns nullopt if a source can't be read.
std::optional<DocumentSet> publishedDocuments(const std::string &folder,
                                              const RouterClient &client);

/// Prints the failed calls by router. Returns exitSuccess if there are none, otherwise
/// exitErrorsFound.
int reportFailures(const std::vector<RouterReply> &replies);

/// The environment section in the help of these commands.
inline const char *const routerClientEnvironmentHelp
    = "BERYLRIDGE_OPERATORS_KEY  the operators' key, where --key-file is not given\n"
      "USER                      named in the audit trail, where --who is not given";

} // namespace berylridge::ctl
