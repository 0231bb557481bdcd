// How the limits that a planner is told are split: descriptors and memory for its peers, probes and discovery.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zincstack::net {

struct ResourceBudget {
    std::size_t peers;      ///< connections at the planner's address
    std::size_t probes;     ///< of servers, at once
    std::size_t lineBlocks; ///< for what peers have begun to say and what calls read
    std::size_t pushBlocks; ///< for what peers have not read yet
    std::size_t listBytes;  ///< of one answer of discovery
};

/// Every proxy and a collector a zone may come to one planner; strangers and streams that overlap take what
/// is left beside them, and so do probes.
ResourceBudget divideLimits(std::size_t sockets, std::size_t memoryMb, std::size_t proxies,
                            std::size_t zones);

} // namespace zincstack::net
