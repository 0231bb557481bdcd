#include "net/resource_budget.h"

#include <algorithm>

#include "net/buffer_pool.h"

namespace zincstack::net {

namespace {

constexpr std::size_t kOwnDescriptors = 20; // standard streams, the loop's, signals, listening, discovery
constexpr std::size_t kMinProbes = 4;
constexpr std::size_t kMaxProbes = 64;
constexpr std::size_t kProbeDivisor = 4; // health checks get this part of what the proxies leave
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kBaseBytes = 16 * kMegabyte; // the program, its tables, its logger
constexpr std::size_t kMinBufferBytes = 4 * kMegabyte;
constexpr std::size_t kMaxBufferBytes = 64 * kMegabyte;
constexpr std::size_t kLineBlockDivisor = 4; // received lines are short beside the tables that are pushed
constexpr std::size_t kListDivisor = 32; // of all memory: parsed to a tree a list takes many times its size

/// What the planner's own descriptors leave.
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
    budget.pushBlocks = blocks - budget.lineBlocks;
    budget.listBytes = std::max(memory / kListDivisor, kMegabyte);
    return budget;
}

} // namespace zincstack::net
