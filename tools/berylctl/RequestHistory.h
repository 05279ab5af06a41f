// Prints what routers' logs contain about one request in readable form.
#pragma once

#include <iosfwd>
#include <map>
#include <string>

namespace berylridge::ctl {

/// Collects the log lines about one request from any number of nodes.
class RequestHistory
{
public:
    explicit RequestHistory(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    /// Reads a log to its end. Skips lines about other requests and lines that are not JSON.
    void read(std::istream &log);

    /// Prints the records found, oldest first. Returns false if there are none.
    bool print(std::ostream &out) const;

private:
    std::string m_requestId;
    std::multimap<std::string, std::string> m_descriptions; ///< The key is the record's time.
};

} // namespace berylridge::ctl
