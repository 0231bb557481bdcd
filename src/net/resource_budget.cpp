#include "net/resource_budget.h"

#include <algorithm>

#include "net/buffer_pool.h"

namespace zincstack::net {

namespace {

constexpr std::size_t kOwnDescriptors = 20; // standard streams, the loop's, signals, listening, discovery
constexpr std::size_t kProbesLeast = 4, kProbesMost = 64;
constexpr std::size_t kProbesPart = 4; // one in so many of what the proxies leave
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kBaseBytes = 16 * kMegabyte; // the program, its figures, its logger
constexpr std::size_t kBlockBytesLeast = 4 * kMegabyte, kBlockBytesMost = 64 * kMegabyte;
constexpr std::size_t kListPart = 32; // of all memory; read to a tree it takes many times that

} // namespace

ResourceBudget divideLimits(std::size_t sockets, std::size_t memoryMb, std::size_t proxies,
                            std::size_t zones) {
    ResourceBudget out{};
    const std::size_t free = sockets > 2 * kOwnDescriptors ? sockets - kOwnDescriptors : sockets / 2 + 1;
    const std::size_t steady = proxies + zones;
    const std::size_t left = free > steady ? free - steady : 0;
    out.probes = std::min(std::clamp(left / kProbesPart, kProbesLeast, kProbesMost), (free + 1) / 2);
    out.peers = std::max<std::size_t>(free - out.probes, 1);
    const std::size_t memory = memoryMb * kMegabyte;
    const std::size_t half = memory > kBaseBytes ? (memory - kBaseBytes) / 2 : 0;
    const std::size_t blocks = std::clamp(half, kBlockBytesLeast, kBlockBytesMost) / kBlockBytes;
    out.lineBlocks = blocks / 4;
    out.pushBlocks = blocks - out.lineBlocks;
    out.listBytes = std::max(memory / kListPart, kMegabyte);
    return out;
}

} // namespace zincstack::net
