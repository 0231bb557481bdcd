// Fuzzer of the pub-sub channel: feeds arbitrary bytes as a stream of frames to the decoders of client and
// server.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "client/subscription.h"

namespace {

using namespace zincstack;

constexpr std::size_t kMaxChunkBytes = 64;
constexpr Micros kConnectedAt{1};
constexpr Micros kReceivedAt{2};

/// Feeds the bytes in chunks to the client's subscription, until it ends the session.
void feedClient(std::string_view bytes, std::size_t chunkBytes) {
    client::Subscription subscription({ProxyId{1}, "a", 1}, std::chrono::seconds(10));
    subscription.connected(kConnectedAt);
    for (std::size_t offset = 0; offset < bytes.size() && subscription.usable(); offset += chunkBytes)
        subscription.feed(bytes.substr(offset, chunkBytes), kReceivedAt);
}

/// Feeds the bytes in chunks to the server's frame reader, until it rejects them. Aborts if the reader
/// buffers more than the size limit of a frame.
void feedServer(std::string_view bytes, std::size_t chunkBytes) {
    pubsub::FrameReader reader(pubsub::kMaxClientFrameBytes);
    bool isOpen = true;
    for (std::size_t offset = 0; offset < bytes.size() && isOpen; offset += chunkBytes) {
        isOpen = !reader.feed(bytes.substr(offset, chunkBytes), [](pubsub::Frame& frame) {
            pubsub::decodeHello(frame.body);
            pubsub::decodeDemandRecord(frame.body);
            pubsub::decodeDisconnectNotice(frame.body);
            return true;
        });
        if (reader.bufferedBytes() > pubsub::kMaxClientFrameBytes) std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    // The first byte selects the chunk size.
    const std::size_t chunkBytes = data[0] % kMaxChunkBytes + 1;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    feedClient(bytes, chunkBytes);
    feedServer(bytes, chunkBytes);
    return 0;
}
