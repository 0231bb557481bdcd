// Recorded days of the pub-sub channel: the bytes sent to and received from each subscriber.
#include <zstd.h>

#include <stdexcept>

#include "digest_days.h"
#include "pubsub_harness.h"

namespace zincstack::tests {

namespace {

constexpr int kStepCount = 40;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kFlagsOffset = 8;
constexpr unsigned char kCompressedFlag = 1;

std::uint32_t bigEndianAt(std::string_view bytes, std::size_t offset) {
    std::uint32_t value = 0;
    for (std::size_t k = 0; k < 4; ++k) value = value << 8 | static_cast<unsigned char>(bytes[offset + k]);
    return value;
}

std::string decompressed(std::string_view body) {
    const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
    if (ZSTD_isError(size))
        throw std::runtime_error("compressed frame body: no content size in the zstd header");
    std::string out(size, '\0');
    const auto decompressedSize = ZSTD_decompress(out.data(), out.size(), body.data(), body.size());
    if (ZSTD_isError(decompressedSize) || decompressedSize != out.size())
        throw std::runtime_error("compressed frame body: zstd did not decompress it to its stated size");
    return out;
}

/// The text of a frame without its length. A compressed body is decompressed, because releases of the zstd
/// library compress the same body to different bytes. The header's compression flag is kept.
std::string comparableFrame(std::string_view frame) {
    const std::string_view header = frame.substr(kLengthBytes, pubsub::kHeaderBytes - kLengthBytes);
    const std::string_view body = frame.substr(pubsub::kHeaderBytes);
    const bool isCompressed = static_cast<unsigned char>(frame[kFlagsOffset]) & kCompressedFlag;
    return hexText(header) + ":" + hexText(isCompressed ? decompressed(body) : std::string(body));
}

/// Plays one day: random changes of tables, sessions and reading speed on a PubsubHarness.
class PubsubDay {
public:
    explicit PubsubDay(std::uint64_t seed) : numbers_(seed) {
        harness_.flowControlLimits.maxLinesPerSubscriber = numbers_.oneOf({20U, 100U, 300U});
        harness_.flowControlLimits.maxQueuedLines = numbers_.oneOf({150.0, 600.0, 4000.0});
        harness_.maxTombstones = numbers_.oneOf({2U, 10U, 50U});
        harness_.server.reset();
        harness_.startServer();
        harness_.onBytes = [this](std::size_t connection, PubsubHarness::Direction direction,
                                  std::string_view bytes) { record(connection, direction, bytes); };
        endpointCount_ = static_cast<int>(numbers_.between(10, 60));
    }
    RecordedDay play() {
        harness_.runBatch([this] {
            for (int endpoint = 0; endpoint < endpointCount_; ++endpoint) setWeight(endpoint);
        });
        for (auto count = numbers_.between(4, 16); count > 0; --count) addClient();
        for (int step = 0; step < kStepCount; ++step) performRandomStep();
        for (auto& client : harness_.clients) client->isStalled = false;
        harness_.runUntilQuiet();
        return std::move(day_);
    }

private:
    void record(std::size_t connection, PubsubHarness::Direction direction, std::string_view bytes) {
        const bool isToSubscriber = direction == PubsubHarness::Direction::ToSubscriber;
        while (bytes.size() >= pubsub::kHeaderBytes) {
            const std::size_t size = kLengthBytes + bigEndianAt(bytes, 0);
            if (size < pubsub::kHeaderBytes || size > bytes.size()) break;
            recordFrame(connection, isToSubscriber, comparableFrame(bytes.substr(0, size)));
            bytes.remove_prefix(size);
        }
        if (!bytes.empty()) recordFrame(connection, isToSubscriber, hexText(bytes)); // an incomplete frame
    }
    void recordFrame(std::size_t connection, bool isToSubscriber, const std::string& text) {
        ++day_.coverage[isToSubscriber ? "frames to subscribers" : "frames from subscribers"];
        day_.events.push_back(eventText(harness_.now, isToSubscriber ? "to" : "from",
                                        {{"stream", std::to_string(connection)}, {"bytes", text}}));
    }
    /// Adds a client, which is an observer with a probability of 1 in 4.
    void addClient() {
        const auto proxy = nextProxy_++;
        const bool isObserver = numbers_.chance(0.25);
        harness_.addClient(isObserver ? std::nullopt : std::optional(proxy),
                           numbers_.chance(0.6) ? "a" : "b");
    }
    /// Opens two sessions of a new proxy. The second starts while the first is still open, and replaces it.
    void replaceSession() {
        ++day_.coverage["streams replaced"];
        const auto proxy = nextProxy_++;
        PubsubHarness::Client& older = harness_.addClient(proxy);
        harness_.runBatch();
        older.receive(numbers_.between(1, 2000));
        harness_.addClient(proxy);
        const bool reconnects = false;
        older.receive(PubsubHarness::kReadAll, reconnects);
        older.disconnect();
        std::erase_if(harness_.clients, [&](const auto& client) { return client.get() == &older; });
    }
    PubsubHarness::Client& anyClient() { return *harness_.clients[numbers_.below(harness_.clients.size())]; }
    int anyEndpoint() { return static_cast<int>(numbers_.below(static_cast<std::uint64_t>(endpointCount_))); }
    void setWeight(int endpoint) {
        const double weight = numbers_.chance(0.15) ? 0 : static_cast<double>(numbers_.between(1, 9)) / 4;
        harness_.setWeight(numbers_.below(PubsubHarness::kZones), endpoint, weight);
    }

    void performRandomStep() {
        switch (numbers_.below(16)) {
        case 0:
        case 1: changeWeights(numbers_.between(1, 3)); break;
        case 2: changeWeights(numbers_.between(20, 80)); break;
        case 3: changeExclusions(); break;
        case 4: changeAdmission(); break;
        case 5: anyClient().isStalled ^= true; break;
        case 6: anyClient().disconnect(); break;
        case 7: anyClient().connect(); break;
        case 8: numbers_.chance(0.5) ? addClient() : replaceSession(); break;
        case 9: reportDemand(); break;
        case 10: requestSnapshot(); break;
        case 11: readSlowly(); break;
        case 12: runSeconds(); break;
        case 13: harness_.runUntilQuiet(); break;
        case 14: suspendAndResume(); break;
        default:
            if (numbers_.chance(0.5)) restart();
        }
        if (numbers_.chance(0.5)) harness_.runBatch();
        if (numbers_.chance(0.5)) harness_.runOneSecond();
    }
    void changeWeights(std::uint64_t count) {
        ++day_.coverage["batches of changed weights"];
        harness_.runBatch([&] {
            for (std::uint64_t k = 0; k < count; ++k) setWeight(anyEndpoint());
        });
    }
    void changeExclusions() {
        ++day_.coverage["exclusions changed"];
        harness_.runBatch([&] {
            for (auto count = numbers_.between(1, 3); count > 0; --count) {
                const int endpoint = anyEndpoint();
                const bool isExcluded =
                    harness_.routingState.excludedEndpoints().contains(harness_.endpoint(endpoint));
                harness_.setExcluded(endpoint, !isExcluded);
            }
        });
    }
    void changeAdmission() {
        harness_.runBatch([&] {
            const auto requestClasses = static_cast<RequestClassSet>(numbers_.between(1, 3));
            std::optional<TableId> table;
            if (numbers_.chance(0.8)) table = PubsubHarness::tableOf(numbers_.below(PubsubHarness::kZones));
            const auto retryPolicy = static_cast<RetryPolicy>(numbers_.below(4));
            harness_.routingState.setAdmission(table, requestClasses, numbers_.fraction(), retryPolicy);
        });
    }
    void reportDemand() {
        PubsubHarness::Client& client = anyClient();
        if (client.subscription.state() != client::Subscription::State::Live) return;
        client.send(
            client.subscription.encodeDemand("order", static_cast<std::uint32_t>(numbers_.below(50)), 2, 1s));
    }
    void requestSnapshot() {
        pubsub::Frame request{pubsub::FrameType::Ask};
        request.topic = pubsub::topicOf(PubsubHarness::tableOf(numbers_.below(PubsubHarness::kZones)));
        request.epoch = harness_.server->epoch();
        anyClient().send(pubsub::encodeFrame(request, false));
    }
    void readSlowly() {
        for (auto& client : harness_.clients)
            if (numbers_.chance(0.5)) client->receive(numbers_.between(1, 900));
    }
    void runSeconds() {
        const bool isReading = numbers_.chance(0.7);
        for (auto count = numbers_.between(1, 4); count > 0; --count) harness_.runOneSecond(isReading);
    }
    void suspendAndResume() {
        ++day_.coverage["channel suspended"];
        harness_.server->suspend();
        harness_.runOneSecond();
        harness_.server->resume();
        harness_.runOneSecond();
    }
    void restart() {
        ++day_.coverage["planner restarts"];
        harness_.restart();
        for (auto& client : harness_.clients)
            if (numbers_.chance(0.9)) client->connect();
    }

    SeededNumbers numbers_;
    RecordedDay day_;
    PubsubHarness harness_;
    int endpointCount_ = 0;
    std::uint16_t nextProxy_ = 0;
};

} // namespace

RecordedDay playPubsubDay(std::uint64_t seed) { return PubsubDay(seed).play(); }

} // namespace zincstack::tests
