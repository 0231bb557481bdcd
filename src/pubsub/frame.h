// Frames of the pub-sub channel: a fixed-size big-endian header followed by a body that may be compressed
// with zstd. Both sides of the channel encode and decode frames with this module; message_body.h defines the
// bodies. docs/pubsub.md specifies the format for implementers of other clients.
//
//   offset  bytes  field
//   0       4      length of everything after this field
//   4       1      frame type
//   5       1      protocol version
//   6       2      topic
//   8       1      flags: 1 = body is compressed, 2 = another part of the same message follows
//   9       1      reserved, 0
//   10      2      part number, from 0
//   12      4      size of the body before compression
//   16      8      epoch
//   24      8      sequence
//   32      8      since
//   40             body
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "pubsub/topic_log.h"

namespace zincstack::pubsub {

inline constexpr std::uint8_t kProtocolVersion = 1;
inline constexpr std::size_t kHeaderBytes = 40;
inline constexpr std::size_t kMaxClientFrameBytes = std::size_t{4} * 1024;  ///< frame from a client
inline constexpr std::size_t kMaxServerFrameBytes = std::size_t{64} * 1024; ///< frame from the planner
inline constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;       ///< body after decompression

/// Type of a frame, with its value on the wire.
enum class FrameType : std::uint8_t {
    // Client to planner.
    Hello = 1, ///< opens the session
    /// Acknowledgement without body: the topic has been applied up to the sequence, or, if `more` is set, the
    /// part has been received.
    Applied = 2,
    Ask = 3,   ///< requests a snapshot of the topic; no body
    Usage = 4, ///< demand record of one request class
    // Either direction.
    Beat = 5, ///< heartbeat; the planner's contains the head of each topic that the subscriber follows
    Bye = 6,  ///< ends the session
    // Planner to client.
    Welcome = 16,  ///< accepts the session
    Refused = 17,  ///< rejects the session
    Snapshot = 18, ///< complete topic as of the sequence, in one or more parts
    Changes = 19,  ///< entries that changed after `since`, with their values as of the sequence
};

/// Feature bits exchanged in Hello and Welcome. A feature is used only if both sides announce it.
inline constexpr std::uint32_t kFeatureCompression = 1; ///< the planner may compress bodies with zstd

/// One decoded frame.
struct Frame {
    FrameType type{};
    std::uint8_t version = kProtocolVersion;
    TopicId topic{};
    bool more = false; ///< another part follows; the message is applied once its last part has arrived
    std::uint16_t part = 0;
    Epoch epoch{};
    Sequence sequence{};
    Sequence since{};
    std::string body = {}; ///< CBOR, decompressed
};

/// Returns the encoded frame. The body is compressed if `mayCompress` is set, the body is not too short to be
/// worth the CPU time, and compression makes it smaller.
std::string encodeFrame(const Frame& frame, bool mayCompress);

/// Splits a byte stream, which arrives in pieces of any size, into frames. Buffers at most one incomplete
/// frame.
class FrameReader {
public:
    using FrameHandler = std::function<bool(Frame&)>;

    explicit FrameReader(std::size_t maxFrameBytes) : maxFrameBytes_(maxFrameBytes) {}

    /// Calls `handleFrame` for each complete frame until it returns false. Returns a description of the
    /// protocol error, or std::nullopt if there is none. The stream cannot be read any further after an
    /// error.
    std::optional<std::string> feed(std::string_view bytes, const FrameHandler& handleFrame);
    std::size_t bufferedBytes() const { return buffer_.size(); }

private:
    std::size_t maxFrameBytes_;
    std::string buffer_;
};

} // namespace zincstack::pubsub
