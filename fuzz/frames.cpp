// Any bytes as a stream of the channel's frames, to either side of it.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "client/subscription.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace zincstack;
    if (size == 0) return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const std::size_t piece = data[0] % 64 + 1; // how the stream is cut
    client::Subscription subscription({ProxyId{1}, "a", 1}, std::chrono::seconds(10));
    subscription.connected(Micros(1));
    pubsub::FrameReader reader(pubsub::kMaxClientFrameBytes);
    bool open = true;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        const auto part = bytes.substr(at, piece);
        if (subscription.usable()) subscription.feed(part, Micros(2));
        if (open)
            open = !reader.feed(part, [](pubsub::Frame& frame) {
                pubsub::decodeHello(frame.body);
                pubsub::decodeDemandRecord(frame.body);
                pubsub::decodeDisconnectNotice(frame.body);
                return true;
            });
        if (reader.bufferedBytes() > pubsub::kMaxClientFrameBytes) std::abort();
    }
    return 0;
}
