// The channel at size: how long until the last front end has a change, what that costs, and what those who come
// back at once cost. The planner's side runs in this process, all front ends in a child; both read one clock.
// Beside it, in the same run: the whole table at each change, and the platform's push.
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>

#include "bench.h"
#include "client/subscription_client.h"
#include "engine/batch_runner.h"
#include "platform/input_translator.h"
#include "platform/session_acceptor.h"
#include "pubsub/pubsub_service.h"

namespace zincstack::bench {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kChangesMost = 256, kSubscribersMost = 2000;
constexpr double kQueueMost = 1e6; // lines; the queue's bound is none of what is measured here

enum class Front { Channel, WholeTables, Platform };
constexpr const char* kFronts[] = {"channel", "whole_tables", "platform"};

/// What both processes see.
struct Shared {
    std::atomic<int> order{0}; ///< to the child, counted up: see `Child`
    std::atomic<int> done{0};  ///< the child has carried out so many
    int what = 0, part = 0;    ///< of the order: 1 cut, 2 stall, 3 go on; hundredths of the front ends
    std::atomic<std::uint64_t> expected{0}; ///< newest change of interest
    std::atomic<std::uint32_t> have[kChangesMost];
    std::int64_t heardAt[kChangesMost]
                        [kSubscribersMost]; ///< when each front end had a change; steady clock, us
};
std::int64_t nowMicros() { return client::SubscriptionClient::now().count(); }
double threadCpuMicros() {
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return 1e6 * static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e3;
}
std::string nameOf(std::size_t server) { return "s-" + std::to_string(0x5be2a07c + server); }

// ---- front ends -------------------------------------------------------------------------------------------

/// A front end of the platform's protocol: says hello, answers marks, notes withdrawals.
struct PlatformEnd : std::enable_shared_from_this<PlatformEnd> {
    PlatformEnd(asio::io_context& io, std::size_t itsNumber, Shared& its)
        : socket(io), number(itsNumber), shared(its) {}
    void start(const tcp::endpoint& at) {
        socket.connect(at);
        socket.set_option(tcp::no_delay(true));
        say("hello proxy=" + std::to_string(number) + " zone=a weight=1 fresh=1\r\n");
        read();
    }
    void say(const std::string& text) {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(text), ignored);
    }
    void read() {
        asio::async_read_until(
            socket, asio::dynamic_buffer(held), "\r\n",
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (error) return;
                self->line(std::string_view(self->held).substr(0, size - 2));
                self->held.erase(0, size);
                self->read();
            });
    }
    void line(std::string_view text) {
        const auto valueOf = [&](std::string_view name) -> std::string_view {
            const auto at = text.find(name);
            if (at == std::string_view::npos) return {};
            const auto from = at + name.size();
            return text.substr(from, text.find(' ', from) - from);
        };
        const std::uint64_t expected = shared.expected;
        if (expected && (!valueOf(" drop=").empty() || !valueOf(" rows=").empty()) &&
            shared.heardAt[expected][number] == 0)
            shared.heardAt[expected][number] = nowMicros(), ++shared.have[expected];
        if (const auto mark = valueOf(" stamp="); !mark.empty())
            say("ack proxy=" + std::to_string(number) + " mark=" + std::string(mark) + " took_ms=0.1\r\n");
    }
    tcp::socket socket;
    const std::size_t number;
    Shared& shared;
    std::string held;
};

/// All front ends; carries out orders until it is ended.
[[noreturn]] void child(Shared& shared, Front front, std::size_t subscribers, const tcp::endpoint& at) {
    asio::io_context io(1);
    std::vector<std::shared_ptr<client::SubscriptionClient>> links;
    std::vector<std::shared_ptr<PlatformEnd>> ends;
    for (std::size_t k = 0; k < subscribers; ++k) {
        if (front == Front::Platform) {
            ends.push_back(std::make_shared<PlatformEnd>(io, k, shared));
            ends.back()->start(at);
            continue;
        }
        links.push_back(std::make_shared<client::SubscriptionClient>(
            io, std::vector{at}, client::Identity{ProxyId{static_cast<std::uint16_t>(k)}, "a", 1},
            client::ReconnectConfig{.initialDelay = 2ms, .maxDelay = 20ms}, k, 10s,
            [&shared, k](std::optional<pubsub::TopicId> topic) {
                const std::uint64_t expected = shared.expected;
                if (!topic || !expected || shared.heardAt[expected][k]) return;
                shared.heardAt[expected][k] = nowMicros();
                ++shared.have[expected];
            }));
        links.back()->start();
    }
    for (int carried = 0;;) {
        io.run_one_for(1ms);
        if (shared.order == carried) continue;
        carried = shared.order;
        for (std::size_t k = 0; k < links.size(); ++k) {
            if (k * 100 >= static_cast<std::size_t>(shared.part) * links.size()) break;
            if (shared.what == 1) links[k]->dropConnection();
            if (shared.what == 2) links[k]->pauseReading(true);
            if (shared.what == 3) links[k]->pauseReading(false);
        }
        ++shared.done;
    }
}

// ---- the planner's side -----------------------------------------------------------------------------------

/// No decisions: binds who joins, and orders what it is told to.
struct Scripted final : Planner {
    explicit Scripted(routing::RoutingState& its) : book(its) {}
    void beginBatch(Micros) override {}
    void updateEndpoints(EndpointListUpdate, std::span<const EndpointUpdate>) override {}
    void proxyJoined(ProxyId proxy, ZoneId, double, bool) override { unbound.push_back(proxy); }
    void proxyLeft(ProxyId proxy) override { std::erase(unbound, proxy); }
    void reportLoad(const EndpointLoadReport&) override {}
    void reportDemand(const DemandReport&) override {}
    void barrierAcknowledged(ProxyId, BarrierId) override { ++answers; }
    void probeCompleted(const ProbeResult&) override {}
    void timerExpired() override {}
    void decide() override {
        for (const ProxyId proxy : std::exchange(unbound, {})) book.assignTable(proxy, 0, {0});
        if (orders) std::exchange(orders, {})();
        mark = static_cast<std::uint16_t>(mark % 65535 + 1);
        book.requestBarrier({mark}, false);
    }
    routing::RoutingState& book;
    std::vector<ProxyId> unbound;
    std::function<void()> orders;
    std::uint64_t answers = 0;
    std::uint16_t mark = 0;
};

/// The simplest channel that could be: the whole table to all at each change, encoded once.
struct WholeTables final : routing::UpdateTransport {
    WholeTables(routing::RoutingState& itsBook, const net::NameRegistry& its, Scripted& itsPlanner)
        : book(itsBook), names(its), planner(itsPlanner) {
        book.addTransport(*this);
    }
    struct Reader final : net::PeerProtocol {
        Reader(WholeTables& its, net::Connection& its2) : front(its), connection(its2) {}
        bool feed(std::string_view bytes) override {
            reader.feed(bytes, [&](pubsub::Frame& frame) {
                if (frame.type == pubsub::FrameType::Hello) {
                    proxy = pubsub::readHello(frame.body)->proxy;
                    front.readers[*proxy] = this;
                    pubsub::Frame welcome{pubsub::FrameType::Welcome};
                    welcome.body = write(pubsub::Welcome{1, 1, "whole", 1s, 100s});
                    connection.push(std::make_shared<const std::string>(writeFrame(welcome, false)));
                    front.book.proxyJoined(*proxy, {0}, front);
                    front.input().proxyJoined(*proxy, {0}, 1, true);
                }
                if (frame.type == pubsub::FrameType::Applied && !frame.more) ++front.planner.answers;
                return true;
            });
            return true;
        }
        bool joinDeadlineExpired() override { return true; }
        bool isUnidentified() const override { return false; }
        void connectionClosed() override {
            front.readers.erase(*proxy);
            front.book.proxyLeft(*proxy, front);
        }
        WholeTables& front;
        net::Connection& connection;
        pubsub::FrameReader reader{pubsub::kClientFrameMost};
        std::optional<ProxyId> proxy;
    };
    void weightChanged(TableId, EndpointId, double) override { dirty = true; }
    void tableAssigned(ProxyId, TableId) override { dirty = true; }
    void exclusionChanged(EndpointId, bool) override { dirty = true; }
    void admissionChanged(std::optional<TableId>, RequestClassSet) override { dirty = true; }
    void barrierRequested(BarrierId, bool) override {}
    void endpointForgotten(EndpointId) override {}
    void sessionReplaced(ProxyId) override {}
    void flush() override {
        if (!std::exchange(dirty, false) || book.tables().empty()) return;
        ++sequence;
        std::vector<pubsub::Entry> all;
        for (const auto& [server, weight] : book.table({0}).weights)
            all.push_back({{pubsub::Key::Kind::Line, names.nameOf(server)},
                           {book.excludedEndpoints().contains(server) ? 0.001 : weight, {}}});
        pubsub::Frame frame{pubsub::FrameType::Snapshot};
        frame.topic = {1};
        frame.sequence = {sequence};
        std::vector<net::SharedBytes> parts;
        for (std::size_t at = 0; at < all.size(); ++frame.part) {
            const std::size_t last = std::min(at + pubsub::kPartEntries, all.size());
            frame.more = last < all.size();
            frame.body = write(pubsub::TopicBody{{"lookup"},
                                                 {all.begin() + static_cast<std::ptrdiff_t>(at),
                                                  all.begin() + static_cast<std::ptrdiff_t>(last)}});
            parts.push_back(std::make_shared<const std::string>(writeFrame(frame, true)));
            at = last;
        }
        for (auto& [proxy, reader] : readers)
            for (const auto& part : parts) reader->connection.push(part);
    }
    routing::RoutingState& book;
    const net::NameRegistry& names;
    Scripted& planner;
    std::function<Planner&()> input;
    std::map<ProxyId, Reader*> readers;
    std::uint64_t sequence = 0;
    bool dirty = false;
};

struct Side {
    explicit Side(std::size_t subscribers) : proxies(static_cast<std::uint32_t>(subscribers)) {}
    const std::uint32_t proxies;
    net::BufferPool pool{65536};
    asio::io_context io{1};
    net::Counters counters;
    net::NameRegistry names{{"lookup"}, {"a"}};
    net::BatchRunner* wakes = nullptr;
    routing::RoutingState book{names, counters, [](EndpointId) {},
                               [this](Micros span) { wakes->scheduleWakeUp(span); }};
    net::UpdateQueue outbox{book, names, counters};
    Scripted planner{book};
    net::BatchRunner engine{io, planner, book, counters, 0us};
    net::InputTranslator intake{engine, outbox, names, counters, proxies};
    net::SessionAcceptor door{intake, counters, pool};
    std::optional<WholeTables> whole;
    pubsub::SubscriptionServer* hub = nullptr;
    std::optional<pubsub::PubsubService> channel;
    std::shared_ptr<net::Listener> listener;

    tcp::endpoint listen(Front front) {
        wakes = &engine;
        if (front == Front::Channel) {
            channel.emplace(
                io, counters, pool,
                [this] {
                    auto out = std::make_unique<pubsub::SubscriptionServer>(
                        book, names, counters, "n1", pubsub::Epoch{1}, proxies,
                        pubsub::FlowControlLimits{.maxQueuedLines = kQueueMost},
                        pubsub::LeaseConfig{.stallTimeout = 100s}, 4096,
                        [this]() -> Planner& { return engine.openBatch(); }, [this] { return engine.now(); });
                    hub = out.get();
                    return out;
                },
                1s);
            channel->configure(pubsub::PubsubService::Endpoint{"127.0.0.1:0", proxies + 100});
            return *channel->address();
        }
        net::Listener::MakePeer make = [this](net::Connection& connection) {
            return door.accept(connection);
        };
        if (front == Front::WholeTables) {
            whole.emplace(book, names, planner);
            whole->input = [this]() -> Planner& { return engine.openBatch(); };
            make = [this](net::Connection& connection) {
                return std::make_unique<WholeTables::Reader>(*whole, connection);
            };
        }
        listener = std::make_shared<net::Listener>(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                                                   proxies + 100, net::SessionAcceptor::kQueueBytesMost,
                                                   counters, pool, pool, make);
        listener->start();
        return listener->address();
    }
    /// Runs until it holds, for a minute at most; whether it held.
    bool until(const std::function<bool()>& holds) {
        const auto end = nowMicros() + 60'000'000;
        while (!holds()) {
            if (nowMicros() > end) return false;
            io.run_one_for(1ms);
        }
        return true;
    }
};

void order(Shared& shared, Side& side, int what, int part) {
    shared.what = what;
    shared.part = part;
    const int before = shared.done;
    ++shared.order;
    side.until([&] { return shared.done > before; });
}

nlohmann::ordered_json measure(Front front, std::size_t subscribers, std::size_t servers, int changes) {
    auto* const shared =
        new (mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0)) Shared;
    nlohmann::ordered_json out{
        {"front", kFronts[static_cast<int>(front)]}, {"subscribers", subscribers}, {"servers", servers}};
    {
        Side side(subscribers);
        for (std::size_t k = 0; k < servers; ++k)
            side.book.setWeight({0}, side.names.registerEndpoint(nameOf(k)),
                                1 + static_cast<double>(k % 7) / 10);
        const auto at = side.listen(front);
        const std::size_t heap = heapBytes();
        const auto start = nowMicros();
        const pid_t pid = fork();
        if (pid == 0) child(*shared, front, subscribers, at);
        const auto answersAtLeast = [&](std::uint64_t many) {
            return side.until([&] { return side.planner.answers >= many; });
        };
        bool well = answersAtLeast(subscribers);
        out["join_all_ms"] = static_cast<double>(nowMicros() - start) / 1e3;
        out["join_bytes_each"] =
            static_cast<double>(side.counters.of(net::Counter::BytesOut)) / static_cast<double>(subscribers);
        side.until([until = nowMicros() + 300'000] { return nowMicros() > until; });
        out["heap_bytes_each"] = static_cast<double>(heapBytes() - heap) / static_cast<double>(subscribers);

        // One change after another, each once all have the one before.
        std::vector<double> delays, lasts;
        std::uint64_t number = 0;
        const auto change = [&](const std::function<void()>& orders) {
            ++number;
            shared->expected = number;
            const auto from = nowMicros();
            side.planner.orders = orders;
            side.engine.openBatch();
            well = side.until([&] { return shared->have[number] >= subscribers; }) && well;
            double last = 0;
            for (std::size_t k = 0; k < subscribers; ++k) {
                delays.push_back(static_cast<double>(shared->heardAt[number][k] - from) / 1e3);
                last = std::max(last, delays.back());
            }
            lasts.push_back(last);
            side.until([until = nowMicros() + 5'000] { return nowMicros() > until; }); // answers come in
        };
        const auto figures = [&](const char* name, const std::function<void(std::size_t)>& orders) {
            delays.clear(), lasts.clear();
            const auto bytes = side.counters.of(net::Counter::BytesOut);
            const double cpu = threadCpuMicros();
            for (int k = 0; k < changes; ++k) change([&, k] { orders(static_cast<std::size_t>(k)); });
            out[name] = {
                {"p50_ms", percentile(delays, 50)},
                {"p99_ms", percentile(delays, 99)},
                {"max_ms", percentile(delays, 100)},
                {"last_p50_ms", percentile(lasts, 50)},
                {"bytes_each", static_cast<double>(side.counters.of(net::Counter::BytesOut) - bytes) /
                                   static_cast<double>(subscribers) / changes},
                {"cpu_us_a_change", (threadCpuMicros() - cpu) / changes}};
        };
        figures("withdrawal", [&](std::size_t k) {
            side.book.setExcluded(side.names.registerEndpoint(nameOf(k % servers)), k / servers % 2 == 0);
        });
        figures("line", [&](std::size_t k) {
            side.book.setWeight({0}, side.names.registerEndpoint(nameOf(k % servers)),
                                3 + static_cast<double>(k));
        });
        if (front == Front::Channel) {
            for (const int part : {10, 50, 100}) {
                const auto cut = side.planner.answers;
                const auto from = nowMicros();
                order(*shared, side, 1, part);
                well = answersAtLeast(cut + subscribers * static_cast<std::size_t>(part) / 100) && well;
                out["catch_up_ms"][std::to_string(part)] = static_cast<double>(nowMicros() - from) / 1e3;
            }
            side.until([until = nowMicros() + 300'000] { return nowMicros() > until; });
            const std::size_t before = heapBytes();
            order(*shared, side, 2, 10);
            shared->expected = 0;
            for (int k = 0; k < 200; ++k) {
                side.planner.orders = [&, k] {
                    side.book.setWeight(
                        {0}, side.names.registerEndpoint(nameOf(static_cast<std::size_t>(k) % servers)),
                        9 + k);
                };
                side.engine.openBatch();
                side.until([until = nowMicros() + 2'000] { return nowMicros() > until; });
            }
            const auto grown = static_cast<std::int64_t>(heapBytes()) - static_cast<std::int64_t>(before);
            out["heap_bytes_each_a_tenth_deaf"] =
                static_cast<double>(grown) / static_cast<double>(subscribers);
            order(*shared, side, 3, 100);
        }
        out["whole"] = well;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        if (side.channel) side.channel->configure({});
        if (side.listener) side.listener->stop();
        side.until([until = nowMicros() + 50'000] { return nowMicros() > until; });
    }
    munmap(shared, sizeof(Shared));
    std::printf("%s\n", out.dump().c_str());
    std::fflush(stdout);
    return out;
}

} // namespace

nlohmann::ordered_json pubsub(bool quick) {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    const std::vector<std::size_t> counts =
        quick ? std::vector<std::size_t>{100} : std::vector<std::size_t>{100, 500, 2000};
    const std::vector<std::size_t> sizes =
        quick ? std::vector<std::size_t>{30} : std::vector<std::size_t>{30, 300, 1000};
    nlohmann::ordered_json out{{"bench", "pubsub"}};
    for (const std::size_t subscribers : counts)
        for (const std::size_t servers : sizes)
            for (const Front front : {Front::Channel, Front::WholeTables, Front::Platform})
                out["runs"].push_back(measure(front, subscribers, servers, quick ? 5 : 20));
    return out;
}

} // namespace zincstack::bench
