// The stored checksums of recorded days, and the comparison with them.
//
// tests/digests/KIND.txt has a line for each seed: the seed, the number of events and the CRC-32 of their texts.
// tests/digests/KIND_checkpoints.txt has a line for each seed that the tests play: the seed, and for each event the
// lowest byte of the CRC up to and including that event, as two hexadecimal digits. They tell which event differs
// first; about one difference in 256 is seen an event late.
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
    std::string checkpoints; ///< two digits an event; empty where none are stored
};

/// Owns what tests/digests has on one kind of day; `kind` must outlive it.
class DigestReference {
public:
    /// Reads what is stored of a kind of day; nothing where its files are missing.
    explicit DigestReference(const DayKind& kind);
    /// What differs between the day as played now and as stored; nothing where they are the same.
    std::optional<std::string> difference(std::uint64_t seed, const RecordedDay& played) const;

private:
    std::string where(std::uint64_t seed) const;

    const DayKind& kind_;
    std::map<std::uint64_t, DayDigest> stored_; // by seed
};

/// Replaces the stored checksums by these, by seed.
void writeDigestReference(const DayKind& kind, const std::map<std::uint64_t, DayDigest>& digests);

DayDigest digestOf(const RecordedDay& day);

} // namespace zincstack::tests
