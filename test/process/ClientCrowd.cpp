#include "ClientCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace berylridge::test {

namespace {

constexpr std::size_t pieceBytes = 64 << 10;
/// Time without progress after which the rest can't be sent.
constexpr int stallMilliseconds = 3000;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/// Returns a connected non-blocking socket, or -1.
int connectTo(const Endpoint &server)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

} // namespace

ClientCrowd::ClientCrowd(const Endpoint &server, std::size_t clients)
{
    for (std::size_t i = 0; i < clients; ++i) {
        const int socket = connectTo(server);
        if (socket >= 0)
            m_clients.push_back({socket});
    }
    m_connected = m_clients.size();
}

ClientCrowd::~ClientCrowd()
{
    for (const Client &client : m_clients) {
        if (client.socket >= 0)
            ::close(client.socket);
    }
}

void ClientCrowd::send(std::string_view bytes)
{
    for (;;) {
        std::vector<pollfd> waits;
        std::vector<Client *> waiting;
        for (Client &client : m_clients) {
            if (client.socket < 0 || client.sent == bytes.size())
                continue;
            waits.push_back({client.socket, POLLIN | POLLOUT, 0});
            waiting.push_back(&client);
        }
        if (waits.empty() || ::poll(waits.data(), waits.size(), stallMilliseconds) <= 0)
            return;
        for (std::size_t i = 0; i < waits.size(); ++i)
            sendSome(*waiting[i], bytes, waits[i].revents);
    }
}

void ClientCrowd::sendSome(Client &client, std::string_view bytes, short events)
{
    std::array<char, 4096> discarded {};
    bool isOpen = true;
    if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
        const ssize_t received = ::recv(client.socket, discarded.data(), discarded.size(), 0);
        isOpen = received > 0 || (received < 0 && wouldBlock());
    }
    if (isOpen && (events & POLLOUT) != 0) {
        const std::string_view rest = bytes.substr(client.sent, pieceBytes);
        const ssize_t sent = ::send(client.socket, rest.data(), rest.size(), MSG_NOSIGNAL);
        isOpen = sent >= 0 || wouldBlock();
        client.sent += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    }
    if (!isOpen)
        ::close(std::exchange(client.socket, -1));
}

} // namespace berylridge::test
