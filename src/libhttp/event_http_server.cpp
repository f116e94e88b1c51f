// EventHttpServer with Boost.Asio and Boost.Beast: one thread, one io_context for all ports.
#include "lavenderarch/http/event_http_server.h"

#include "event_connection.h"
#include "lavenderarch/telemetry/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <system_error>
#include <thread>

namespace lavenderarch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Time between two searches for connections whose deadline has passed.
constexpr Milliseconds sweepInterval{250};
/// Pause after a connection could not be accepted, for want of descriptors in most cases.
constexpr Milliseconds acceptPause{20};
constexpr int listenBacklog = 1024;

Status listenError(const Address &address, const boost::system::error_code &error)
{
    return makeError(ErrorKind::Internal,
                     "cannot listen on " + address.text() + ": " + error.message());
}

} // namespace

struct EventHttpServer::Impl : std::enable_shared_from_this<Impl>
{
    Impl(Metrics &metrics, const EventServerLimits &limits)
        : registry(metrics, limits)
    {
    }

    /// A port and its handler. Connections share it, so that it outlives the server.
    struct Port
    {
        Port(asio::io_context &context, const HttpPortOptions &limits, Handler requestHandler)
            : endpoint{limits, std::move(requestHandler)}
            , acceptor(context)
            , retry(context)
        {
        }
        ConnectionEndpoint endpoint;
        tcp::acceptor acceptor;
        asio::steady_timer retry;
    };

    ConnectionRegistry registry;
    asio::io_context context{1};
    asio::steady_timer sweep{context};
    std::list<std::shared_ptr<Port>> ports; // used by the thread only
    std::thread thread;

    void run()
    {
        while (!context.stopped()) {
            try {
                context.run();
            } catch (const std::exception &error) {
                logFailure("http", "connection failed with an exception",
                           makeError(ErrorKind::Internal, error.what()));
            }
        }
    }

    void accept(const std::shared_ptr<Port> &port)
    {
        port->acceptor.async_accept(
            [this, port](boost::system::error_code error, tcp::socket socket) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    const std::shared_ptr<const ConnectionEndpoint> endpoint(port, &port->endpoint);
                    std::make_shared<EventConnection>(std::move(socket), endpoint, registry,
                                                      weak_from_this())
                        ->open();
                    accept(port);
                    return;
                }
                registry.closeOne();
                port->retry.expires_after(acceptPause);
                port->retry.async_wait([this, port](boost::system::error_code cancelled) {
                    if (!cancelled)
                        accept(port);
                });
            });
    }

    void sweepLater()
    {
        sweep.expires_after(sweepInterval);
        sweep.async_wait([this](boost::system::error_code cancelled) {
            if (cancelled)
                return;
            registry.closeExpired(BootClock::now());
            sweepLater();
        });
    }
};

EventHttpServer::EventHttpServer(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

StatusOr<std::unique_ptr<EventHttpServer>> EventHttpServer::start(Metrics &metrics,
                                                                  const EventServerLimits &limits)
{
    auto impl = std::make_shared<Impl>(metrics, limits);
    impl->sweepLater(); // also keeps the context running
    try {
        impl->thread = std::thread([running = impl.get()] { running->run(); });
    } catch (const std::system_error &error) {
        return makeError(ErrorKind::Internal,
                         std::string("cannot create a thread: ") + error.what());
    }
    return std::unique_ptr<EventHttpServer>(new EventHttpServer(std::move(impl)));
}

EventHttpServer::~EventHttpServer()
{
    asio::post(m_impl->context, [impl = m_impl.get()] {
        impl->sweep.cancel();
        for (const auto &port : impl->ports) {
            port->retry.cancel();
            boost::system::error_code ignored;
            port->acceptor.close(ignored);
        }
        impl->ports.clear();
        impl->registry.closeAll();
        impl->context.stop();
    });
    m_impl->thread.join();
    // Handlers that were aborted hold connections.
    m_impl->context.restart();
    m_impl->context.poll();
}

Status EventHttpServer::listen(const Address &address, const HttpPortOptions &options,
                               Handler handler)
{
    auto port = std::make_shared<Impl::Port>(m_impl->context, options, std::move(handler));
    boost::system::error_code error;
    const auto host = asio::ip::make_address(address.host(), error);
    if (error)
        return listenError(address, error);
    port->acceptor.open(host.is_v6() ? tcp::v6() : tcp::v4(), error);
    if (!error)
        port->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        port->acceptor.bind({host, address.port()}, error);
    if (!error)
        port->acceptor.listen(listenBacklog, error);
    if (error)
        return listenError(address, error);
    asio::post(m_impl->context, [impl = m_impl.get(), port] {
        impl->ports.push_back(port);
        impl->accept(port);
    });
    return absl::OkStatus();
}

void EventHttpServer::disableKeepAlive()
{
    m_impl->registry.stopKeepAlive();
    asio::post(m_impl->context, [impl = m_impl.get()] { impl->registry.shortenIdleTimes(); });
}

int EventHttpServer::activeRequests() const
{
    return m_impl->registry.activeRequests();
}

} // namespace lavenderarch
