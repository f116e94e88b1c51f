// A connected TCP socket of the HTTP client, whose calls end at a deadline.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/boot_clock.h"

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>
#include <memory>
#include <string_view>

namespace lavenderarch {

/// Owns the descriptor. Used by one thread at a time. Meets the requirements of a SyncReadStream of
/// Boost.Beast. A peer may go silent at any byte, without a reset: a call that would wait beyond
/// the deadline fails with `timed_out`.
class ClientSocket
{
public:
    using Error = boost::system::error_code;

    /// Null when `peer` is no IPv4 address or does not accept the connection until `deadline`.
    static std::unique_ptr<ClientSocket> connect(const Address &peer, BootTime deadline);
    ~ClientSocket();
    ClientSocket(const ClientSocket &) = delete;
    ClientSocket &operator=(const ClientSocket &) = delete;

    /// Sets the deadline of the next calls.
    void setDeadline(BootTime deadline) { m_deadline = deadline; }

    /// Sends all of `text`.
    Error send(std::string_view text);

    // The names are those of the requirements.
    // NOLINTBEGIN(readability-identifier-naming)
    template <typename Buffers>
    std::size_t read_some(const Buffers &buffers, Error &error)
    {
        const boost::asio::mutable_buffer buffer = *boost::asio::buffer_sequence_begin(buffers);
        return receive(buffer.data(), buffer.size(), error);
    }
    template <typename Buffers>
    std::size_t read_some(const Buffers &buffers)
    {
        Error error;
        const std::size_t count = read_some(buffers, error);
        if (error)
            throw boost::system::system_error(error);
        return count;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    explicit ClientSocket(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    std::size_t receive(void *data, std::size_t size, Error &error);
    /// Waits until the socket is ready for `events`, or has failed.
    Error await(short events) const;

    const int m_descriptor;
    BootTime m_deadline{};
};

} // namespace lavenderarch
