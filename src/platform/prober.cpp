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

constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr Micros kResponseTimeout = 500ms;
constexpr Micros kDefaultConnectTimeout = 250ms;
constexpr int kHttpOk = 200;

} // namespace

Prober::Prober(asio::io_context& io, const NameRegistry& names, InputTranslator& inputs, Counters& counters,
               BufferPool& buffers, std::size_t maxConcurrentProbes, Micros connectTimeout, bool reportsLoad)
    : io_(io), names_(names), inputs_(inputs), counters_(counters), buffers_(buffers),
      maxConcurrentProbes_(maxConcurrentProbes),
      connectTimeout_(connectTimeout > 0s ? connectTimeout : kDefaultConnectTimeout),
      path_(reportsLoad ? "/-/load" : "/-/healthy") {}

void Prober::probe(EndpointId endpoint) { asio::co_spawn(io_, run(endpoint), rethrow); }

asio::awaitable<void> Prober::run(EndpointId endpoint) {
    // The planner requests probes while it decides, and must not receive a result before the decision is
    // complete.
    co_await asio::post(io_, asio::use_awaitable);
    if (runningProbes_ >= maxConcurrentProbes_) {
        inputs_.probeCompleted(endpoint, ProbeStatus::Rejected, 0s, {});
        co_return;
    }
    ++runningProbes_;
    counters_.add(Counter::ProbesSent);
    const auto start = Steady::now();
    const Result result = co_await request(names_.address(endpoint), start + kResponseTimeout);
    --runningProbes_;
    const auto latency = std::chrono::duration_cast<Micros>(Steady::now() - start);
    inputs_.probeCompleted(endpoint, result.status, latency, result.body);
}

asio::awaitable<Prober::Result> Prober::request(std::string address, Steady::time_point deadline) {
    const auto endpoint = parseAddress(address);
    asio::ip::tcp::socket socket(io_);
    if (!endpoint || co_await connectTo(socket, *endpoint, std::min(connectTimeout_, kResponseTimeout)))
        co_return Result{ProbeStatus::Unreachable, {}};
    const auto buffer = buffers_.take();
    if (!buffer) co_return Result{ProbeStatus::Rejected, {}};
    const std::string text =
        "GET " + path_ + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n";
    if (co_await writeAll(socket, text)) co_return Result{ProbeStatus::ProtocolError, {}};
    HttpResponse response(kMaxBodyBytes);
    while (!response.done() && !response.broken()) {
        boost::system::error_code error;
        const std::size_t size = co_await readPiece(socket, buffer, deadline, error);
        if (error == asio::error::timed_out) co_return Result{ProbeStatus::TimedOut, {}};
        response.feed({buffer.data(), size});
        if (error) response.connectionClosed();
    }
    if (response.broken()) co_return Result{ProbeStatus::ProtocolError, {}};
    if (response.status() == kHttpOk) co_return Result{ProbeStatus::Answered, response.body()};
    co_return Result{response.hadNoEffect() ? ProbeStatus::Rejected : ProbeStatus::Error, {}};
}

} // namespace zincstack::net
