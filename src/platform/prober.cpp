#include "platform/prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

#include "http/http_response.h"
#include "net/address.h"
#include "net/client.h"
#include "net/rethrow.h"

namespace zincstack::net {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::size_t kBodyMost = 64 * 1024;
constexpr Micros kAnswerMost = 500ms;  // no answer after that
constexpr Micros kConnectMost = 250ms; // where the start terms tell none

} // namespace

Prober::Prober(asio::io_context& io, const NameRegistry& names, InputTranslator& intake, Counters& counters,
               BufferPool& pool, std::size_t atOnceMost, Micros connectMost, bool reports)
    : io_(io), names_(names), intake_(intake), counters_(counters), pool_(pool), atOnceMost_(atOnceMost),
      connectMost_(connectMost > 0s ? connectMost : kConnectMost), path_(reports ? "/-/load" : "/-/healthy") {
}

void Prober::probe(EndpointId server) { asio::co_spawn(io_, run(server), rethrow); }

/// Starts in a turn of its own: the order comes from inside a decision, and no result may come back there.
asio::awaitable<void> Prober::run(EndpointId server) {
    co_await asio::post(io_, asio::use_awaitable);
    if (running_ >= atOnceMost_) {
        intake_.probed(server, ProbeStatus::Rejected, 0s, {});
        co_return;
    }
    ++running_;
    counters_.add(Counter::ProbesSent);
    const auto start = Steady::now();
    const Found seen = co_await ask(names_.address(server), start + kAnswerMost);
    --running_;
    intake_.probed(server, seen.status, std::chrono::duration_cast<Micros>(Steady::now() - start), seen.body);
}

asio::awaitable<Prober::Found> Prober::ask(std::string address, Steady::time_point until) {
    const auto at = parseAddress(address);
    asio::ip::tcp::socket socket(io_);
    if (!at || co_await connectTo(socket, *at, std::min(connectMost_, kAnswerMost)))
        co_return Found{ProbeStatus::Unreachable, {}};
    const auto block = pool_.take();
    if (!block) co_return Found{ProbeStatus::Rejected, {}};
    const std::string request =
        "GET " + path_ + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n";
    if (co_await writeAll(socket, request)) co_return Found{ProbeStatus::ProtocolError, {}};
    HttpResponse response(kBodyMost);
    while (!response.done() && !response.broken()) {
        boost::system::error_code error;
        const std::size_t got = co_await readPiece(socket, block, until, error);
        if (error == asio::error::timed_out) co_return Found{ProbeStatus::TimedOut, {}};
        response.feed({block.data(), got});
        if (error) response.ended();
    }
    if (response.broken()) co_return Found{ProbeStatus::ProtocolError, {}};
    if (response.status() == 200) co_return Found{ProbeStatus::Answered, response.body()};
    co_return Found{response.neverRan() ? ProbeStatus::Rejected : ProbeStatus::Error, {}};
}

} // namespace zincstack::net
