// Recorded days of the pub-sub channel: the bytes to each subscriber and from it.
#include <zstd.h>

#include <stdexcept>

#include "digest_days.h"
#include "pubsub_harness.h"

namespace zincstack::tests {

namespace {

constexpr int kSteps = 40;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kFlagsAt = 8;
constexpr unsigned char kCompressedFlag = 1;

std::uint32_t bigEndianAt(std::string_view bytes, std::size_t offset) {
    std::uint32_t value = 0;
    for (std::size_t k = 0; k < 4; ++k) value = value << 8 | static_cast<unsigned char>(bytes[offset + k]);
    return value;
}

std::string unpacked(std::string_view body) {
    const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
    if (ZSTD_isError(size)) throw std::runtime_error("a compressed body has no size");
    std::string out(size, '\0');
    const auto got = ZSTD_decompress(out.data(), out.size(), body.data(), body.size());
    if (ZSTD_isError(got) || got != out.size()) throw std::runtime_error("a body can't be unpacked");
    return out;
}

/// The frame without its length. Releases of the zstd library pack the same body into different bytes, so a
/// compressed body is unpacked; the flag that tells of it stays.
std::string comparableFrame(std::string_view frame) {
    const std::string_view header = frame.substr(kLengthBytes, pubsub::kHeaderBytes - kLengthBytes);
    const std::string_view body = frame.substr(pubsub::kHeaderBytes);
    const bool isCompressed = static_cast<unsigned char>(frame[kFlagsAt]) & kCompressedFlag;
    return hexText(header) + ":" + hexText(isCompressed ? unpacked(body) : std::string(body));
}

class PubsubDay {
public:
    explicit PubsubDay(std::uint64_t seed) : numbers_(seed) {
        yard_.pace.maxLinesPerSubscriber = numbers_.oneOf({20U, 100U, 300U});
        yard_.pace.maxQueuedLines = numbers_.oneOf({150.0, 600.0, 4000.0});
        yard_.tombstones = numbers_.oneOf({2U, 10U, 50U});
        yard_.hub.reset();
        yard_.open();
        yard_.onBytes = [this](std::size_t stream, Yard::Direction direction, std::string_view bytes) {
            record(stream, direction, bytes);
        };
        servers_ = static_cast<int>(numbers_.between(10, 60));
    }
    RecordedDay play() {
        yard_.batch([this] {
            for (int server = 0; server < servers_; ++server) setLine(server);
        });
        for (auto count = numbers_.between(4, 16); count > 0; --count) addClient();
        for (int step = 0; step < kSteps; ++step) happen();
        for (auto& client : yard_.clients) client->stalled = false;
        yard_.settle();
        return std::move(day_);
    }

private:
    void record(std::size_t stream, Yard::Direction direction, std::string_view bytes) {
        const bool isTo = direction == Yard::Direction::ToSubscriber;
        while (bytes.size() >= pubsub::kHeaderBytes) {
            const std::size_t size = kLengthBytes + bigEndianAt(bytes, 0);
            if (size < pubsub::kHeaderBytes || size > bytes.size()) break;
            recordFrame(stream, isTo, comparableFrame(bytes.substr(0, size)));
            bytes.remove_prefix(size);
        }
        if (!bytes.empty()) recordFrame(stream, isTo, hexText(bytes)); // no whole frame
    }
    void recordFrame(std::size_t stream, bool isTo, const std::string& text) {
        ++day_.coverage[isTo ? "frames to subscribers" : "frames from subscribers"];
        day_.events.push_back(eventText(yard_.now, isTo ? "to" : "from",
                                        {{"stream", std::to_string(stream)}, {"bytes", text}}));
    }
    /// Every fourth only watches.
    void addClient() {
        const auto proxy = nextProxy_++;
        const bool watches = numbers_.chance(0.25);
        yard_.add(watches ? std::nullopt : std::optional(proxy), numbers_.chance(0.6) ? "a" : "b");
    }
    /// A second stream of the newest proxy comes up while the first still stands, and takes its place.
    void replaceStream() {
        ++day_.coverage["streams replaced"];
        const auto proxy = nextProxy_++;
        Yard::Client& older = yard_.add(proxy);
        yard_.batch();
        older.read(numbers_.between(1, 2000));
        yard_.add(proxy);
        const bool dialsAgain = false;
        older.read(1 << 20, dialsAgain);
        older.cut();
        std::erase_if(yard_.clients, [&](const auto& client) { return client.get() == &older; });
    }
    Yard::Client& anyClient() { return *yard_.clients[numbers_.below(yard_.clients.size())]; }
    int anyServer() { return static_cast<int>(numbers_.below(static_cast<std::uint64_t>(servers_))); }
    void setLine(int server) {
        const double weight = numbers_.chance(0.15) ? 0 : static_cast<double>(numbers_.between(1, 9)) / 4;
        yard_.line(numbers_.below(Yard::kZones), server, weight);
    }

    void happen() {
        switch (numbers_.below(16)) {
        case 0:
        case 1: changeLines(numbers_.between(1, 3)); break;
        case 2: changeLines(numbers_.between(20, 80)); break;
        case 3: changeWithdrawn(); break;
        case 4: changeLevel(); break;
        case 5: anyClient().stalled ^= true; break;
        case 6: anyClient().cut(); break;
        case 7: anyClient().dial(); break;
        case 8: numbers_.chance(0.5) ? addClient() : replaceStream(); break;
        case 9: reportUsage(); break;
        case 10: askForSnapshot(); break;
        case 11: readLittle(); break;
        case 12: passSeconds(); break;
        case 13: yard_.settle(); break;
        case 14: switchOffAndOn(); break;
        default:
            if (numbers_.chance(0.5)) restart();
        }
        if (numbers_.chance(0.5)) yard_.batch();
        if (numbers_.chance(0.5)) yard_.second();
    }
    void changeLines(std::uint64_t count) {
        ++day_.coverage["batches of changed lines"];
        yard_.batch([&] {
            for (std::uint64_t k = 0; k < count; ++k) setLine(anyServer());
        });
    }
    void changeWithdrawn() {
        ++day_.coverage["withdrawals changed"];
        yard_.batch([&] {
            for (auto count = numbers_.between(1, 3); count > 0; --count) {
                const int server = anyServer();
                const bool out = yard_.book.excludedEndpoints().contains(yard_.server(server));
                yard_.withdraw(server, !out);
            }
        });
    }
    void changeLevel() {
        yard_.batch([&] {
            const auto products = static_cast<RequestClassSet>(numbers_.between(1, 3));
            std::optional<TableId> table;
            if (numbers_.chance(0.8)) table = Yard::tableOf(numbers_.below(Yard::kZones));
            const auto tries = static_cast<RetryPolicy>(numbers_.below(4));
            yard_.book.setAdmission(table, products, numbers_.share(), tries);
        });
    }
    void reportUsage() {
        Yard::Client& client = anyClient();
        if (client.subscription.state() != client::Subscription::State::Live) return;
        client.say(
            client.subscription.encodeDemand("order", static_cast<std::uint32_t>(numbers_.below(50)), 2, 1s));
    }
    void askForSnapshot() {
        pubsub::Frame ask{pubsub::FrameType::Ask};
        ask.topic = pubsub::topicOf(Yard::tableOf(numbers_.below(Yard::kZones)));
        ask.epoch = yard_.hub->epoch();
        anyClient().say(pubsub::encodeFrame(ask, false));
    }
    void readLittle() {
        for (auto& client : yard_.clients)
            if (numbers_.chance(0.5)) client->read(numbers_.between(1, 900));
    }
    void passSeconds() {
        const bool isReading = numbers_.chance(0.7);
        for (auto count = numbers_.between(1, 4); count > 0; --count) yard_.second(isReading);
    }
    void switchOffAndOn() {
        ++day_.coverage["switched off"];
        yard_.hub->suspend();
        yard_.second();
        yard_.hub->resume();
        yard_.second();
    }
    void restart() {
        ++day_.coverage["planner restarts"];
        yard_.restart();
        for (auto& client : yard_.clients)
            if (numbers_.chance(0.9)) client->dial();
    }

    SeededNumbers numbers_;
    RecordedDay day_;
    Yard yard_;
    int servers_ = 0;
    std::uint16_t nextProxy_ = 0;
};

} // namespace

RecordedDay playPubsubDay(std::uint64_t seed) { return PubsubDay(seed).play(); }

} // namespace zincstack::tests
