// Clients that send the same bytes on many connections at once and then stay connected.
#pragma once

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Time.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace berylridge::test {

class ClientCrowd
{
public:
    /// Opens this many connections. Connections that fail are left out.
    ClientCrowd(const Endpoint &server, std::size_t clients);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Sends the bytes on all connections at the same time and discards what the server sends.
    /// Returns when each client has sent all or lost its connection, or when no client can send for
    /// some seconds.
    void send(std::string_view bytes);

    /// Returns the number of connections that were opened.
    std::size_t connected() const { return m_connected; }

private:
    struct Client
    {
        int socket = -1; ///< -1 once the connection has ended.
        std::size_t sent = 0;
    };

    static void sendSome(Client &client, std::string_view bytes, short events);

    std::vector<Client> m_clients;
    std::size_t m_connected = 0;
};

} // namespace berylridge::test
