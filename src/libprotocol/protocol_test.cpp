// Tests of the internal protocol: typed calls and errors over an HTTP connection.
#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/http/http_server.h"
#include "lavenderarch/protocol/announce_request.h"
#include "lavenderarch/protocol/resolve_reply.h"
#include "lavenderarch/protocol/resolve_request.h"
#include "lavenderarch/protocol/rpc_channel.h"
#include "lavenderarch/protocol/rpc_server.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

TEST_CASE("typed calls return the reply and errors keep their kind")
{
    RpcServer rpc;
    rpc.addTyped<ResolveRequest>(
        "resolve", [](const ResolveRequest &request) -> StatusOr<ResolveReply> {
            if (request.incarnation != 7)
                return makeError(ErrorKind::StaleCommand, "incarnation 7 is running");
            return ResolveReply{RequestFate::Done, true, 200, "text/plain", request.request.text()};
        });
    const Address address("127.0.0.1", 18093);
    auto server = HttpServer::start(address, {}, [&](const HttpRequest &request) {
        return HttpResponse{200, {}, rpc.handle(request.body)};
    });
    REQUIRE(server.ok());
    HttpClient client;
    RpcChannel channel(client);
    const TimePoint deadline = SystemClock().now() + std::chrono::seconds(5);
    const auto reply = channel.call<ResolveReply>(
        address, "resolve", ResolveRequest{RequestId("r1"), 7, deadline}, deadline);
    REQUIRE(reply.ok());
    CHECK(reply->body == "r1");
    const auto stale = channel.call<ResolveReply>(
        address, "resolve", ResolveRequest{RequestId("r1"), 8, deadline}, deadline);
    REQUIRE_FALSE(stale.ok());
    CHECK(kindOf(stale.status()) == ErrorKind::StaleCommand);
    CHECK(messageOf(stale.status()).find("incarnation 7") != std::string::npos);
    const auto missing =
        channel.call(address, "resolve", Json::object({{"request", "r"}}), deadline);
    REQUIRE_FALSE(missing.ok());
    CHECK(messageOf(missing.status()).find("incarnation") != std::string::npos);
}

TEST_CASE("an announcement converts to JSON and back unchanged")
{
    const Announcement announcement{EndpointId("m1"),
                                    ServiceName("course-desk"),
                                    DataCentreName("leicester"),
                                    "east-mids",
                                    "r1",
                                    Address("127.0.0.1", 9000),
                                    3,
                                    4,
                                    EndpointState::Draining,
                                    8,
                                    2,
                                    1,
                                    5,
                                    fromEpochMs(1000)};
    CHECK(Json(announcement).get<Announcement>() == announcement);
}
