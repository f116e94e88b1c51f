// Non-blocking socket calls, each preceded by a wait that ends at the deadline.
#include "client_socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lavenderarch {
namespace {

/// Longest single wait; poll() takes an int.
constexpr std::int64_t longestWaitMs = 60'000;

boost::system::error_code systemError(int code)
{
    return {code, boost::system::system_category()};
}

bool wouldBlock(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK;
}

} // namespace

std::unique_ptr<ClientSocket> ClientSocket::connect(const Address &peer, BootTime deadline)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(peer.port());
    if (inet_pton(AF_INET, peer.host().c_str(), &target.sin_addr) != 1)
        return nullptr;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    std::unique_ptr<ClientSocket> connected(new ClientSocket(descriptor));
    connected->setDeadline(deadline);
    const int noDelay = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0)
        return connected;
    if (errno != EINPROGRESS || connected->await(POLLOUT))
        return nullptr;
    int code = 0;
    socklen_t size = sizeof code;
    if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &code, &size) != 0 || code != 0)
        return nullptr;
    return connected;
}

ClientSocket::~ClientSocket()
{
    ::close(m_descriptor);
}

ClientSocket::Error ClientSocket::send(std::string_view text)
{
    while (!text.empty()) {
        const ssize_t count = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (count > 0) {
            text.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        const int code = errno;
        if (code == EINTR)
            continue;
        if (!wouldBlock(code))
            return systemError(code);
        if (const Error error = await(POLLOUT))
            return error;
    }
    return {};
}

std::size_t ClientSocket::receive(void *data, std::size_t size, Error &error)
{
    while (true) {
        error = await(POLLIN);
        if (error)
            return 0;
        const ssize_t count = ::recv(m_descriptor, data, size, 0);
        if (count > 0)
            return static_cast<std::size_t>(count);
        if (count == 0) {
            error = boost::asio::error::eof;
            return 0;
        }
        const int code = errno;
        if (code == EINTR || wouldBlock(code))
            continue;
        error = systemError(code);
        return 0;
    }
}

ClientSocket::Error ClientSocket::await(short events) const
{
    while (true) {
        // Past the deadline, what has already arrived is still read.
        const std::int64_t remaining =
            std::max<std::int64_t>((m_deadline - BootClock::now()).count(), 0);
        pollfd target{m_descriptor, events, 0};
        const int ready = ::poll(&target, 1, static_cast<int>(std::min(remaining, longestWaitMs)));
        if (ready > 0)
            return {};
        if (ready < 0 && errno != EINTR)
            return systemError(errno);
        if (ready == 0 && remaining == 0)
            return boost::asio::error::timed_out;
    }
}

} // namespace lavenderarch
