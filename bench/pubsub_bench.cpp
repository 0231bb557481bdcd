// Benchmark `pubsub`: time until all clients have received a change, its cost in bytes and CPU time, the time
// to catch up after many clients reconnect simultaneously, and memory. The planner's side runs in this
// process and all clients in a child process; both read the same clock. For comparison, joining and changes
// are also measured with two other transports: one that sends the whole table at each change, and the
// platform's protocol.
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "bench.h"
#include "pubsub_clients.h"
#include "pubsub_planner_side.h"

namespace zincstack::bench {

namespace {

using namespace std::chrono_literals;

constexpr const char* kTransportNames[] = {"channel", "whole_tables", "platform"};

double threadCpuMicros() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return 1e6 * static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e3;
}

std::string endpointName(std::size_t number) { return "s-" + std::to_string(0x5be2a07c + number); }

double millisSince(std::int64_t startMicros) {
    return static_cast<double>(steadyMicros() - startMicros) / 1e3;
}

/// One combination of transport and size.
struct Scenario {
    Transport transport;
    std::size_t subscribers;
    std::size_t endpoints;
    int changes; ///< number of changes of each kind
};

/// Owns a SharedState in memory that is shared with child processes.
class SharedMemory {
public:
    SharedMemory()
        : state_(new(mmap(nullptr, sizeof(SharedState), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS,
                          -1, 0)) SharedState) {}
    ~SharedMemory() { munmap(state_, sizeof(SharedState)); }
    SharedMemory(const SharedMemory&) = delete;
    SharedMemory(SharedMemory&&) = delete;
    SharedMemory& operator=(const SharedMemory&) = delete;
    SharedMemory& operator=(SharedMemory&&) = delete;
    SharedState& state() { return *state_; }

private:
    SharedState* state_;
};

/// Runs one scenario: connects the clients, then measures changes and, for the pub-sub channel, reconnects
/// and stalled clients.
class Measurement {
public:
    explicit Measurement(const Scenario& scenario)
        : scenario_(scenario), planner_(scenario.subscribers),
          figures_{{"front", kTransportNames[static_cast<int>(scenario.transport)]},
                   {"subscribers", scenario.subscribers},
                   {"servers", scenario.endpoints}} {}

    nlohmann::ordered_json run() {
        for (std::size_t number = 0; number < scenario_.endpoints; ++number)
            planner_.routingState.setWeight({0}, endpointOf(number),
                                            1 + static_cast<double>(number % 7) / 10);
        const auto address = planner_.listen(scenario_.transport);
        const std::size_t heapBefore = heapBytes();
        const auto start = steadyMicros();
        const pid_t clients = fork();
        if (clients == 0) runClients(shared_.state(), scenario_.transport, scenario_.subscribers, address);
        measureJoin(start, heapBefore);
        measureChanges("withdrawal", [this](std::size_t k) {
            const bool excluded = k / scenario_.endpoints % 2 == 0;
            planner_.routingState.setExcluded(endpointOf(k), excluded);
        });
        measureChanges("line", [this](std::size_t k) {
            planner_.routingState.setWeight({0}, endpointOf(k), 3 + static_cast<double>(k));
        });
        if (scenario_.transport == Transport::PubsubChannel) {
            for (const int percent : {10, 50, 100}) measureReconnect(percent);
            planner_.runFor(300ms);
            measureStalledClients();
        }
        figures_["whole"] = isComplete_;
        kill(clients, SIGKILL);
        waitpid(clients, nullptr, 0);
        planner_.stop();
        return std::move(figures_);
    }

private:
    EndpointId endpointOf(std::size_t number) {
        return planner_.names.registerEndpoint(endpointName(number % scenario_.endpoints));
    }
    double perSubscriber(double total) const { return total / static_cast<double>(scenario_.subscribers); }
    double bytesOut() const { return static_cast<double>(planner_.counters.of(net::Counter::BytesOut)); }
    void waitForAcknowledgements(std::uint64_t count) {
        const bool isReached = planner_.runUntil([&] { return planner_.planner.acknowledgements >= count; });
        isComplete_ = isComplete_ && isReached;
    }

    void measureJoin(std::int64_t start, std::size_t heapBefore) {
        waitForAcknowledgements(scenario_.subscribers);
        figures_["join_all_ms"] = millisSince(start);
        figures_["join_bytes_each"] = perSubscriber(bytesOut());
        planner_.runFor(300ms);
        figures_["heap_bytes_each"] = perSubscriber(static_cast<double>(heapBytes() - heapBefore));
    }

    /// Delays in milliseconds from the start of a change to its receipt.
    struct Delays {
        std::vector<double> each; ///< for every client and change
        std::vector<double> last; ///< for each change, the delay of the last client
    };
    /// Makes one change and waits until every client has received it.
    void measureChange(const std::function<void()>& applyChange, Delays& delays) {
        SharedState& shared = shared_.state();
        ++change_;
        shared.currentChange = change_;
        const auto start = steadyMicros();
        planner_.runBatch(applyChange);
        const bool isReached =
            planner_.runUntil([&] { return shared.receivedBy[change_] >= scenario_.subscribers; });
        isComplete_ = isReached && isComplete_;
        double last = 0;
        for (std::size_t client = 0; client < scenario_.subscribers; ++client) {
            const auto delay = shared.receivedAtMicros[change_][client] - start;
            delays.each.push_back(static_cast<double>(delay) / 1e3);
            last = std::max(last, delays.each.back());
        }
        delays.last.push_back(last);
        planner_.runFor(5ms); // lets the acknowledgements arrive
    }
    void measureChanges(const char* name, const std::function<void(std::size_t)>& applyChange) {
        Delays delays;
        const double bytesBefore = bytesOut();
        const double cpuBefore = threadCpuMicros();
        for (int k = 0; k < scenario_.changes; ++k)
            measureChange([&, k] { applyChange(static_cast<std::size_t>(k)); }, delays);
        figures_[name] = {{"p50_ms", percentile(delays.each, 50)},
                          {"p99_ms", percentile(delays.each, 99)},
                          {"max_ms", percentile(delays.each, 100)},
                          {"last_p50_ms", percentile(delays.last, 50)},
                          {"bytes_each", perSubscriber(bytesOut() - bytesBefore) / scenario_.changes},
                          {"cpu_us_a_change", (threadCpuMicros() - cpuBefore) / scenario_.changes}};
    }

    void measureReconnect(int percent) {
        const auto before = planner_.planner.acknowledgements;
        const auto start = steadyMicros();
        planner_.command(shared_.state(), ClientCommand::DropConnections, percent);
        waitForAcknowledgements(before + scenario_.subscribers * static_cast<std::size_t>(percent) / 100);
        figures_["catch_up_ms"][std::to_string(percent)] = millisSince(start);
    }

    /// Measures the growth of the heap while changes are made and a tenth of the clients read nothing.
    void measureStalledClients() {
        constexpr int kChanges = 200;
        const std::size_t before = heapBytes();
        planner_.command(shared_.state(), ClientCommand::PauseReading, 10);
        shared_.state().currentChange = 0;
        for (int k = 0; k < kChanges; ++k) {
            planner_.runBatch([this, k] {
                planner_.routingState.setWeight({0}, endpointOf(static_cast<std::size_t>(k)), 9 + k);
            });
            planner_.runFor(2ms);
        }
        const auto grown = static_cast<std::int64_t>(heapBytes()) - static_cast<std::int64_t>(before);
        figures_["heap_bytes_each_a_tenth_deaf"] = perSubscriber(static_cast<double>(grown));
        planner_.command(shared_.state(), ClientCommand::ResumeReading, 100);
    }

    const Scenario scenario_;
    SharedMemory shared_;
    PlannerSide planner_;
    nlohmann::ordered_json figures_;
    std::uint64_t change_ = 0;
    bool isComplete_ = true; // false: a wait for the clients timed out
};

void raiseDescriptorLimit() {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

} // namespace

nlohmann::ordered_json pubsub(bool quick) {
    raiseDescriptorLimit();
    const std::vector<std::size_t> subscriberCounts =
        quick ? std::vector<std::size_t>{100} : std::vector<std::size_t>{100, 500, 2000};
    const std::vector<std::size_t> endpointCounts =
        quick ? std::vector<std::size_t>{30} : std::vector<std::size_t>{30, 300, 1000};
    const int changes = quick ? 5 : 20;
    nlohmann::ordered_json out{{"bench", "pubsub"}};
    for (const std::size_t subscribers : subscriberCounts)
        for (const std::size_t endpoints : endpointCounts)
            for (const Transport transport :
                 {Transport::PubsubChannel, Transport::WholeTables, Transport::Platform}) {
                auto figures = Measurement({transport, subscribers, endpoints, changes}).run();
                std::printf("%s\n", figures.dump().c_str());
                std::fflush(stdout);
                out["runs"].push_back(std::move(figures));
            }
    return out;
}

} // namespace zincstack::bench
