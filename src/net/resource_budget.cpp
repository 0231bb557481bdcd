#include "net/resource_budget.h"

#include <algorithm>

#include "net/buffer_pool.h"
#include "net/line_framer.h"

namespace zincstack::net {

namespace {

/// Standard streams, event loop, signals, listening socket and discovery.
constexpr std::size_t kOwnDescriptors = 20;
constexpr std::size_t kMinProbes = 4;
constexpr std::size_t kMaxProbes = 64;
/// Health checks get 1/kProbeDivisor of the descriptors that proxies and collectors do not need.
constexpr std::size_t kProbeDivisor = 4;
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kBaseBytes = 16 * kMegabyte; // the program, its tables and its logger
constexpr std::size_t kMinBufferBytes = 4 * kMegabyte;
constexpr std::size_t kMaxBufferBytes = 64 * kMegabyte;
/// Long lines get 1/kLineBlockDivisor of the blocks, since they are short compared with pushed tables.
constexpr std::size_t kLineBlockDivisor = 4;
constexpr std::size_t kMinPushBlocks = 64; // one peer's write queue
/// A discovery list may take 1/kListDivisor of the memory: the tree parsed from it is many times its size.
constexpr std::size_t kListDivisor = 32;

/// The number of descriptors left after those of the planner itself. A small limit is divided in half.
std::size_t freeDescriptors(std::size_t descriptors) {
    if (descriptors > 2 * kOwnDescriptors) return descriptors - kOwnDescriptors;
    return descriptors / 2 + 1;
}

std::size_t bufferBytes(std::size_t memory) {
    const std::size_t half = memory > kBaseBytes ? (memory - kBaseBytes) / 2 : 0;
    return std::clamp(half, kMinBufferBytes, kMaxBufferBytes);
}

} // namespace

ResourceBudget divideLimits(std::size_t descriptors, std::size_t memoryMegabytes, std::size_t proxies,
                            std::size_t zones) {
    ResourceBudget budget{};
    const std::size_t free = freeDescriptors(descriptors);
    const std::size_t expectedPeers = proxies + zones;
    const std::size_t spare = free > expectedPeers ? free - expectedPeers : 0;
    budget.probes = std::min(std::clamp(spare / kProbeDivisor, kMinProbes, kMaxProbes), (free + 1) / 2);
    budget.peers = std::max<std::size_t>(free - budget.probes, 1);
    const std::size_t memory = memoryMegabytes * kMegabyte;
    const std::size_t blocks = bufferBytes(memory) / kBlockBytes;
    budget.lineBlocks = blocks / kLineBlockDivisor;
    budget.responseBlocks = budget.probes + 1;
    const std::size_t ownBufferBlocks = budget.peers * kOwnBufferBytes / kBlockBytes + 1;
    const std::size_t reserved = budget.lineBlocks + budget.responseBlocks + ownBufferBlocks;
    budget.pushBlocks = std::max(blocks - std::min(reserved, blocks), kMinPushBlocks);
    budget.listBytes = std::max(memory / kListDivisor, kMegabyte);
    return budget;
}

} // namespace zincstack::net
