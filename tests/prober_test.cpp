// Tests the prober against an HTTP server on a loopback connection.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "platform/prober.h"
#include "platform_harness.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;

/// Makes the test server accept a probe without answering it.
constexpr std::string_view kSilent = "silent";

struct ProberTest : tests::PlatformHarness {
    boost::asio::ip::tcp::acceptor server{io, {boost::asio::ip::address_v4::loopback(), 0}};
    Prober prober{io, names, inputs, counters, pool, 64, 250ms, true};

    /// Returns the result of a probe. The server sends `response` and closes the connection, or never answers
    /// if `response` is kSilent.
    ProbeResult probe(std::string_view response) {
        const EndpointId id = names.registerEndpoint("s-1");
        names.setAddress(id, "127.0.0.1:" + std::to_string(server.local_endpoint().port()));
        boost::asio::ip::tcp::socket peer(io);
        boost::asio::streambuf request;
        server.async_accept(peer, [&](boost::system::error_code) {
            boost::asio::async_read_until(peer, request, "\r\n\r\n",
                                          [&](boost::system::error_code, std::size_t) {
                                              if (response == kSilent) return;
                                              boost::asio::write(peer, boost::asio::buffer(response));
                                              peer.close();
                                          });
        });
        prober.probe(id);
        runUntilIdle();
        return planner.probeResults.back();
    }
};

TEST_F(ProberTest, ReportsAStatusForEachKindOfResponse) {
    const auto good =
        probe("HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT inflight=7, queue=2, util=.5\n");
    EXPECT_EQ(good.status, ProbeStatus::Answered);
    EXPECT_EQ(good.load.inFlight, 7);
    EXPECT_EQ(good.load.queueLength, 2);
    EXPECT_EQ(good.load.utilization, 0.5);
    EXPECT_EQ(probe("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").status, ProbeStatus::Error);
    EXPECT_EQ(probe("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT").status, ProbeStatus::ProtocolError);
    EXPECT_EQ(probe("").status, ProbeStatus::ProtocolError);
    EXPECT_EQ(probe(kSilent).status, ProbeStatus::TimedOut);
    server.close();
    prober.probe(names.registerEndpoint("s-1"));
    runUntilIdle();
    EXPECT_EQ(planner.probeResults.back().status, ProbeStatus::Unreachable);
}

TEST_F(ProberTest, NeverReportsWithinTheDecisionThatRequestedTheProbe) {
    const EndpointId unreachable =
        names.registerEndpoint("s-9"); // it has no address, so the result is known immediately
    decide([&] {
        prober.probe(unreachable);
        EXPECT_TRUE(planner.probeResults.empty());
    });
    ASSERT_EQ(planner.probeResults.size(), 1U);
    EXPECT_EQ(planner.probeResults[0].status, ProbeStatus::Unreachable);
}

} // namespace
} // namespace zincstack::net
