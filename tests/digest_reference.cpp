// Implements the storage of the checksums of recorded days and the comparison with them.
#include "digest_reference.h"

#include <boost/crc.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace zincstack::tests {

namespace {

constexpr std::size_t kCheckpointDigits = 2;

std::string digestPath(const DayKind& kind) {
    return std::string(ZINCSTACK_DIGEST_FOLDER) + "/" + std::string(kind.name) + ".txt";
}

std::string checkpointPath(const DayKind& kind) {
    return std::string(ZINCSTACK_DIGEST_FOLDER) + "/" + std::string(kind.name) + "_checkpoints.txt";
}

std::string checksumText(std::uint32_t checksum) {
    char text[9];
    std::snprintf(text, sizeof text, "%08x", checksum);
    return text;
}

std::string checkpointText(std::uint32_t checksum) {
    return checksumText(checksum).substr(8 - kCheckpointDigits);
}

/// The index of the first event whose checkpoint differs. If one list is a prefix of the other, the length of
/// the shorter list.
std::size_t firstDifference(const std::string& stored, const std::string& played) {
    const auto unequal = std::ranges::mismatch(stored, played).in1;
    return static_cast<std::size_t>(unequal - stored.begin()) / kCheckpointDigits;
}

std::ofstream openForWriting(const std::string& path) {
    std::ofstream file(path);
    if (!file) throw std::runtime_error("cannot open " + path + " for writing");
    return file;
}

} // namespace

DayDigest digestOf(const RecordedDay& day) {
    boost::crc_32_type checksum;
    DayDigest digest;
    digest.events = day.events.size();
    for (const std::string& event : day.events) {
        checksum.process_bytes(event.data(), event.size());
        checksum.process_byte('\n');
        digest.checkpoints += checkpointText(checksum.checksum());
    }
    digest.checksum = checksum.checksum();
    return digest;
}

DigestReference::DigestReference(const DayKind& kind) : kind_(kind) {
    std::uint64_t seed = 0;
    std::ifstream digests(digestPath(kind));
    for (DayDigest digest; digests >> seed >> digest.events >> std::hex >> digest.checksum >> std::dec;)
        stored_[seed] = digest;
    std::ifstream checkpoints(checkpointPath(kind));
    for (std::string text; checkpoints >> seed >> text;) stored_[seed].checkpoints = text;
}

std::string DigestReference::dayText(std::uint64_t seed) const {
    return std::string(kind_.name) + " seed " + std::to_string(seed);
}

std::optional<std::string> DigestReference::difference(std::uint64_t seed, const RecordedDay& played) const {
    const auto found = stored_.find(seed);
    if (found == stored_.end()) return dayText(seed) + ": no checksum is stored in tests/digests";
    const DayDigest& stored = found->second;
    const DayDigest now = digestOf(played);
    if (stored.checksum == now.checksum && stored.events == now.events) return {};
    const std::string counts = dayText(seed) + ": " + std::to_string(stored.events) +
                               " events with checksum " + checksumText(stored.checksum) + " are stored, " +
                               std::to_string(now.events) + " with checksum " + checksumText(now.checksum) +
                               " were played";
    if (stored.checkpoints.empty())
        return counts + "; compare `zincstack_digests print` of two builds to see the first event";
    const std::size_t first = firstDifference(stored.checkpoints, now.checkpoints);
    const std::string event =
        first < played.events.size() ? played.events[first] : "the day ends before this event";
    return counts + "; event " + std::to_string(first) + " is the first that differs: " + event;
}

void writeDigestReference(const DayKind& kind, const std::map<std::uint64_t, DayDigest>& digests) {
    auto lines = openForWriting(digestPath(kind));
    auto checkpoints = openForWriting(checkpointPath(kind));
    for (const auto& [seed, digest] : digests) {
        lines << seed << ' ' << digest.events << ' ' << checksumText(digest.checksum) << '\n';
        if (seed <= kind.seedsOfTests) checkpoints << seed << ' ' << digest.checkpoints << '\n';
    }
}

} // namespace zincstack::tests
