// Divides the configured limits on descriptors and memory among peers, health checks and discovery.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zincstack::net {

/// The limits that follow from the configured numbers of descriptors and megabytes.
struct ResourceBudget {
    std::size_t peers;          ///< maximum number of connections accepted at the planner's address
    std::size_t probes;         ///< maximum number of concurrent health checks
    std::size_t lineBlocks;     ///< buffer blocks for incomplete lines that are longer than kOwnBufferBytes
    std::size_t responseBlocks; ///< buffer blocks for responses: one for each health check, one for discovery
    std::size_t pushBlocks;     ///< buffer blocks for bytes that peers have not read yet
    std::size_t listBytes;      ///< maximum size of one discovery response
};

/// Reserves connections for every proxy and for one collector per zone, since all of them may connect to the
/// same planner. Unidentified peers, overlapping streams and health checks share the remaining descriptors.
///
/// Buffer memory is divided so that no peer can use up what another one needs: each peer has a buffer of
/// kOwnBufferBytes for the line that it has begun, and each response has a block.
ResourceBudget divideLimits(std::size_t descriptors, std::size_t memoryMegabytes, std::size_t proxies,
                            std::size_t zones);

} // namespace zincstack::net
