// The channel's frames: a header of fixed size and a body in CBOR, compressed by zstd where that is told. Both
// sides read and write by this file. docs/pubsub.md specifies it for others.
//
//   offset  bytes  big-endian
//   0       4      length of what follows these four bytes
//   4       1      type
//   5       1      version of the protocol
//   6       2      topic
//   8       1      flags: 1 body compressed, 2 a further part of the same message follows
//   9       1      0
//   10      2      number of the part, from 0
//   12      4      size of the body before compression
//   16      8      epoch
//   24      8      sequence
//   32      8      since
//   40             body
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pubsub/topic_log.h"

namespace zincstack::pubsub {

inline constexpr std::uint8_t kVersion = 1;
inline constexpr std::size_t kHeaderBytes = 40;
inline constexpr std::size_t kClientFrameMost = 4 * 1024;   ///< of a frame to the planner
inline constexpr std::size_t kPlannerFrameMost = 64 * 1024; ///< of a frame from the planner
inline constexpr std::size_t kBodyMost = 256 * 1024;        ///< of a body once it is unpacked
inline constexpr std::size_t kPartEntries = 256;            ///< of one part of a snapshot

enum class FrameType : std::uint8_t {
    // to the planner
    Hello = 1,
    Applied =
        2,   ///< header alone: all up to this sequence of the topic is in use; with `more`: that part came
    Ask = 3, ///< header alone: a snapshot of the topic is wanted
    Usage = 4,
    // either way
    Beat = 5, ///< from the planner: the head of each topic that the subscriber holds
    Bye = 6,
    // from the planner
    Welcome = 16,
    Refused = 17,
    Snapshot = 18, ///< the topic as it stands at the sequence, in one or more parts
    Changes = 19,  ///< what changed after `since`, as it stands at the sequence
};

/// Feature bits that either side names in its greeting; what the other does not name is not used.
inline constexpr std::uint32_t kCompression = 1; ///< bodies from the planner may be compressed by zstd

struct Frame {
    FrameType type{};
    std::uint8_t version = kVersion;
    TopicId topic{};
    bool more = false; ///< a further part follows; nothing is in use before the last one
    std::uint16_t part = 0;
    Epoch epoch{};
    Sequence sequence{}, since{};
    std::string body = {}; ///< CBOR, unpacked
};

/// A whole frame; the body is compressed if it is allowed and worth it.
std::string writeFrame(const Frame& frame, bool mayCompress);

/// Cuts a stream of bytes, fed in any pieces, into frames. Holds no more than one frame.
class FrameReader {
public:
    explicit FrameReader(std::size_t frameMost) : frameMost_(frameMost) {}
    /// Calls `taken` with each frame until that says no. What went wrong, or nothing: after that the stream
    /// can't be read any more.
    std::optional<std::string> feed(std::string_view bytes, const std::function<bool(Frame&)>& taken);
    std::size_t held() const { return held_.size(); }

private:
    std::size_t frameMost_;
    std::string held_;
};

// ---- bodies: none where the bytes can't be used; keys that are not known are let pass ----------------------

struct Have {
    TopicId topic;
    Epoch epoch;
    Sequence sequence;
    friend bool operator==(const Have&, const Have&) = default;
};
struct Hello {
    std::uint32_t versionLeast = kVersion, versionMost = kVersion;
    std::uint32_t features = kCompression;
    std::optional<ProxyId> proxy; ///< none: it only watches, and is no proxy
    std::string zone;
    double weight = 0;  ///< rough txns a second
    bool fresh = false; ///< it holds no table that was ordered
    std::vector<Have> have;
};
struct Welcome {
    std::uint32_t version = kVersion, features = 0;
    std::string planner;
    Micros beat{}, lease{}; ///< how often either side says something; after so long of silence it is gone
};
struct DisconnectNotice { ///< of Bye and Refused
    std::string reason;
    std::optional<Micros> retryAfter; ///< when to come back; none: that is not known, or not at all
};
struct DemandRecord {
    std::string requestClass;
    std::uint32_t requests = 0, unanswered = 0;
    Micros interval{};
};
using Heads = std::vector<std::pair<TopicId, Sequence>>;
struct TopicBody {                     ///< of Snapshot and Changes
    std::vector<std::string> products; ///< of a first part: whose table it is
    std::vector<Entry> entries;
};

std::string write(const Hello& hello);
std::string write(const Welcome& welcome);
std::string write(const DisconnectNotice& parting);
std::string write(const DemandRecord& line);
std::string write(const Heads& heads);
std::string write(const TopicBody& body);

std::optional<Hello> readHello(std::string_view body);
std::optional<Welcome> readWelcome(std::string_view body);
std::optional<DisconnectNotice> readParting(std::string_view body);
std::optional<DemandRecord> readUsage(std::string_view body);
std::optional<Heads> readHeads(std::string_view body);
std::optional<TopicBody> readTopic(std::string_view body);

} // namespace zincstack::pubsub
