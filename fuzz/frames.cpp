// Fuzzer of the pub-sub channel: any bytes as a stream of frames, to the client's side and to the server's.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "client/subscription.h"

namespace {

using namespace zincstack;

constexpr std::size_t kMaxPieceBytes = 64;
constexpr Micros kConnectedAt{1};
constexpr Micros kReceivedAt{2};

/// What a subscriber makes of the bytes, cut into pieces.
void feedClient(std::string_view bytes, std::size_t pieceBytes) {
    client::Subscription subscription({ProxyId{1}, "a", 1}, std::chrono::seconds(10));
    subscription.connected(kConnectedAt);
    for (std::size_t at = 0; at < bytes.size() && subscription.usable(); at += pieceBytes)
        subscription.feed(bytes.substr(at, pieceBytes), kReceivedAt);
}

/// What the server makes of them. It never holds more than one frame may have.
void feedServer(std::string_view bytes, std::size_t pieceBytes) {
    pubsub::FrameReader reader(pubsub::kMaxClientFrameBytes);
    bool isOpen = true;
    for (std::size_t at = 0; at < bytes.size() && isOpen; at += pieceBytes) {
        isOpen = !reader.feed(bytes.substr(at, pieceBytes), [](pubsub::Frame& frame) {
            pubsub::decodeHello(frame.body);
            pubsub::decodeDemandRecord(frame.body);
            pubsub::decodeDisconnectNotice(frame.body);
            return true;
        });
        if (reader.bufferedBytes() > pubsub::kMaxClientFrameBytes) std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    const std::size_t pieceBytes = data[0] % kMaxPieceBytes + 1;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    feedClient(bytes, pieceBytes);
    feedServer(bytes, pieceBytes);
    return 0;
}
