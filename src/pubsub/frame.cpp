#include "pubsub/frame.h"

#include <zstd.h>

#include <memory>

namespace zincstack::pubsub {

namespace {

// Offsets of the header fields; see the table in frame.h.
constexpr std::size_t kLengthOffset = 0;
constexpr std::size_t kTypeOffset = 4;
constexpr std::size_t kVersionOffset = 5;
constexpr std::size_t kTopicOffset = 6;
constexpr std::size_t kFlagsOffset = 8;
constexpr std::size_t kPartOffset = 10;
constexpr std::size_t kBodySizeOffset = 12;
constexpr std::size_t kEpochOffset = 16;
constexpr std::size_t kSequenceOffset = 24;
constexpr std::size_t kSinceOffset = 32;

constexpr std::size_t kLengthFieldBytes = 4; // the length field does not count itself
constexpr unsigned kCompressedFlag = 1;
constexpr unsigned kMoreFlag = 2;

constexpr std::size_t kMinCompressedBodyBytes = 512; // smaller bodies gain too little for the CPU time
constexpr int kCompressionLevel = 1;                 // fastest level: frames are small and sent immediately

template <class Integer>
void putBigEndian(std::string& buffer, std::size_t offset, Integer value) {
    for (std::size_t k = 0; k < sizeof(Integer); ++k)
        buffer[offset + k] = static_cast<char>(value >> 8 * (sizeof(Integer) - 1 - k) & 0xff);
}

template <class Integer>
Integer getBigEndian(std::string_view buffer, std::size_t offset) {
    Integer value = 0;
    for (std::size_t k = 0; k < sizeof(Integer); ++k)
        value = static_cast<Integer>(value << 8 | static_cast<unsigned char>(buffer[offset + k]));
    return value;
}

template <auto Free>
struct ContextDeleter {
    template <class Context>
    void operator()(Context* context) const {
        Free(context);
    }
};

ZSTD_CCtx* compressionContext() {
    thread_local const std::unique_ptr<ZSTD_CCtx, ContextDeleter<ZSTD_freeCCtx>> kContext(ZSTD_createCCtx());
    return kContext.get();
}

ZSTD_DCtx* decompressionContext() {
    thread_local const std::unique_ptr<ZSTD_DCtx, ContextDeleter<ZSTD_freeDCtx>> kContext(ZSTD_createDCtx());
    return kContext.get();
}

/// Appends the compressed body to the header in `frame`. Returns false, with `frame` holding the header only,
/// if compression does not make the body smaller.
bool appendCompressed(std::string& frame, std::string_view body) {
    frame.resize(kHeaderBytes + ZSTD_compressBound(body.size()));
    const std::size_t size =
        ZSTD_compressCCtx(compressionContext(), frame.data() + kHeaderBytes, frame.size() - kHeaderBytes,
                          body.data(), body.size(), kCompressionLevel);
    const bool isSmaller = !ZSTD_isError(size) && size < body.size();
    frame.resize(kHeaderBytes + (isSmaller ? size : 0));
    return isSmaller;
}

/// Decompresses into a buffer of exactly the announced size, so that a body that expands beyond it is
/// rejected.
bool decompress(std::string_view compressed, std::size_t size, std::string& body) {
    body.resize(size);
    const std::size_t written = ZSTD_decompressDCtx(decompressionContext(), body.data(), body.size(),
                                                    compressed.data(), compressed.size());
    return !ZSTD_isError(written) && written == size;
}

/// Decodes the complete frame in `bytes`. Returns a description of the protocol error, or std::nullopt if
/// there is none.
std::optional<std::string> decodeFrame(std::string_view bytes, Frame& frame) {
    const unsigned flags = getBigEndian<std::uint8_t>(bytes, kFlagsOffset);
    frame.type = static_cast<FrameType>(getBigEndian<std::uint8_t>(bytes, kTypeOffset));
    frame.version = getBigEndian<std::uint8_t>(bytes, kVersionOffset);
    frame.topic = {getBigEndian<std::uint16_t>(bytes, kTopicOffset)};
    frame.more = flags & kMoreFlag;
    frame.part = getBigEndian<std::uint16_t>(bytes, kPartOffset);
    frame.epoch = {getBigEndian<std::uint64_t>(bytes, kEpochOffset)};
    frame.sequence = {getBigEndian<std::uint64_t>(bytes, kSequenceOffset)};
    frame.since = {getBigEndian<std::uint64_t>(bytes, kSinceOffset)};
    const std::size_t bodySize = getBigEndian<std::uint32_t>(bytes, kBodySizeOffset);
    const std::string_view body = bytes.substr(kHeaderBytes);
    if (bodySize > kMaxBodyBytes) return "a body of " + std::to_string(bodySize) + " bytes";
    if (flags & kCompressedFlag) {
        if (!decompress(body, bodySize, frame.body)) return "a body that can't be unpacked";
        return {};
    }
    if (bodySize != body.size()) return "a body that is not as long as it says";
    frame.body = body;
    return {};
}

} // namespace

std::string encodeFrame(const Frame& frame, bool mayCompress) {
    std::string out(kHeaderBytes, '\0');
    const bool isLargeEnough = frame.body.size() >= kMinCompressedBodyBytes;
    const bool isCompressed = mayCompress && isLargeEnough && appendCompressed(out, frame.body);
    if (!isCompressed) out += frame.body;
    const unsigned flags = (frame.more ? kMoreFlag : 0) | (isCompressed ? kCompressedFlag : 0);
    putBigEndian(out, kLengthOffset, static_cast<std::uint32_t>(out.size() - kLengthFieldBytes));
    putBigEndian(out, kTypeOffset, static_cast<std::uint8_t>(frame.type));
    putBigEndian(out, kVersionOffset, frame.version);
    putBigEndian(out, kTopicOffset, frame.topic.value);
    putBigEndian(out, kFlagsOffset, static_cast<std::uint8_t>(flags));
    putBigEndian(out, kPartOffset, frame.part);
    putBigEndian(out, kBodySizeOffset, static_cast<std::uint32_t>(frame.body.size()));
    putBigEndian(out, kEpochOffset, frame.epoch.value);
    putBigEndian(out, kSequenceOffset, frame.sequence.value);
    putBigEndian(out, kSinceOffset, frame.since.value);
    return out;
}

std::optional<std::string> FrameReader::feed(std::string_view bytes, const FrameHandler& handleFrame) {
    if (!buffer_.empty()) {
        buffer_ += bytes;
        bytes = buffer_;
    }
    std::string_view rest = bytes;
    while (rest.size() >= kLengthFieldBytes) {
        // Rejects an invalid length as soon as the length field is complete, without buffering the rest of
        // the frame.
        const std::size_t length = getBigEndian<std::uint32_t>(rest, kLengthOffset);
        const std::size_t frameBytes = length + kLengthFieldBytes;
        if (length < kHeaderBytes - kLengthFieldBytes || frameBytes > maxFrameBytes_)
            return "a frame of " + std::to_string(length) + " bytes";
        if (rest.size() < frameBytes) break;
        Frame frame;
        if (auto fault = decodeFrame(rest.substr(0, frameBytes), frame)) return fault;
        rest.remove_prefix(frameBytes);
        if (!handleFrame(frame)) return {};
    }
    // If the sizes are equal, `rest` is the whole buffer and nothing has to be copied.
    if (rest.size() != buffer_.size()) buffer_ = std::string(rest);
    return {};
}

} // namespace zincstack::pubsub
