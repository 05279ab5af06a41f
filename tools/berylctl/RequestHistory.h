// What routers' logs say of one request, for people.
#pragma once

#include <iosfwd>
#include <map>
#include <string>

namespace berylridge::ctl {

/// Gathers the log lines on one request from any number of nodes.
class RequestHistory
{
public:
    explicit RequestHistory(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    /// Reads a log to its end; lines of other requests, and what is no JSON, are passed over.
    void read(std::istream &log);

    /// Prints what was found, oldest first; false where nothing was.
    bool print(std::ostream &out) const;

private:
    std::string m_requestId;
    std::multimap<std::string, std::string> m_descriptions; ///< By time.
};

} // namespace berylridge::ctl
