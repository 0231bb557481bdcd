// The stored checksums of recorded days, and the comparison of days with them.
//
// tests/digests/KIND.txt has a line for each seed: the seed, the number of events and the CRC-32 of their
// texts. tests/digests/KIND_checkpoints.txt has a line for each seed that the tests play: the seed, and for
// each event the lowest byte of the CRC up to and including that event, as two hexadecimal digits. They show
// which event differs first. One difference in 256 or so is detected an event late, because the bytes are
// equal by chance.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "digest_days.h"

namespace zincstack::tests {

/// The digest of one recorded day.
struct DayDigest {
    std::size_t events = 0;
    std::uint32_t checksum = 0;
    std::string checkpoints; ///< two digits per event; empty if none are stored
};

/// The stored digests of one kind of day. `kind` must outlive it.
class DigestReference {
public:
    /// Reads the files of a kind of day. If they are missing, no digest is stored.
    explicit DigestReference(const DayKind& kind);
    /// A description of the difference between the day as played and as stored; std::nullopt if they are
    /// equal.
    std::optional<std::string> difference(std::uint64_t seed, const RecordedDay& played) const;

private:
    std::string dayText(std::uint64_t seed) const;

    const DayKind& kind_;
    std::map<std::uint64_t, DayDigest> stored_; // by seed
};

/// Replaces the stored digests of a kind of day. `digests` is keyed by seed.
void writeDigestReference(const DayKind& kind, const std::map<std::uint64_t, DayDigest>& digests);

/// Computes the digest of a played day.
DayDigest digestOf(const RecordedDay& day);

} // namespace zincstack::tests
