// A stand-in for the platform: serves documents and the VM list, which nodes read and watch and
// tests update.
#pragma once

#include "HttpServer.h"
#include "WatchableValue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace berylridge::standin {

class Platform
{
public:
    Platform(boost::asio::io_context &io, Duration vmListDelay);

    /// Loads the documents (*.json) of a directory and a VM list from a file; an empty name means
    /// none. Returns an error message if one of them is invalid.
    std::optional<std::string> load(const std::string &directory, const std::string &vmFile);
    void setServer(HttpServer &server) { m_server = &server; }

    void handle(const std::shared_ptr<Exchange> &exchange);

private:
    void putDocument(const std::shared_ptr<Exchange> &exchange);
    void putVms(const std::shared_ptr<Exchange> &exchange);
    void handleControlRequest(const std::shared_ptr<Exchange> &exchange);
    std::optional<std::string> addDocument(const Json::Value &file, Json::Value &documents) const;
    std::string stats() const;

    boost::asio::io_context &m_io;
    HttpServer *m_server = nullptr;
    Duration m_vmListDelay;
    WatchableValue m_documents;
    WatchableValue m_vms;
    std::map<std::string, std::uint64_t> m_calls; ///< By method and path.
    bool m_isDown = false;
};

} // namespace berylridge::standin
