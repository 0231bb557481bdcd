// How the configured limits of descriptors and memory are divided among peers, health checks and discovery.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zincstack::net {

struct ResourceBudget {
    std::size_t peers;      ///< connections accepted at the planner's address
    std::size_t probes;     ///< health checks at the same time
    std::size_t lineBlocks; ///< buffer blocks for partial lines of peers and for responses
    std::size_t pushBlocks; ///< buffer blocks for what peers have not read yet
    std::size_t listBytes;  ///< of one response of discovery
};

/// Every proxy and one collector for each zone may connect to one planner. Unidentified peers, overlapping streams
/// and health checks get what is left beside them.
ResourceBudget divideLimits(std::size_t descriptors, std::size_t memoryMegabytes, std::size_t proxies,
                            std::size_t zones);

} // namespace zincstack::net
