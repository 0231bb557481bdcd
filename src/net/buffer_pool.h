// A pool of reusable memory blocks of one size. Connections take their buffers from a pool, so that its
// capacity limits the memory used for all peers together.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace zincstack::net {

inline constexpr std::size_t kBlockBytes = 4 * 1024;
using Block = std::array<char, kBlockBytes>;

/// Allocates blocks on demand up to a capacity and keeps returned blocks for reuse. Must outlive its leases.
class BufferPool {
public:
    /// `capacity`: maximum number of blocks leased at the same time.
    explicit BufferPool(std::size_t capacity) : capacity_(capacity) {}

    /// Owns a block and returns it to the pool on destruction. May be empty.
    class Lease {
    public:
        Lease() = default;
        Lease(BufferPool* pool, std::unique_ptr<Block> block) : pool_(pool), block_(std::move(block)) {}
        Lease(const Lease&) = delete;
        Lease& operator=(const Lease&) = delete;
        Lease(Lease&&) noexcept = default;
        Lease& operator=(Lease&& other) noexcept {
            std::swap(pool_, other.pool_);
            std::swap(block_, other.block_);
            return *this;
        }
        ~Lease() {
            if (block_) pool_->release(std::move(block_));
        }
        explicit operator bool() const { return block_ != nullptr; }
        /// Must not be called on an empty lease.
        char* data() const { return block_->data(); }

    private:
        BufferPool* pool_ = nullptr;
        std::unique_ptr<Block> block_;
    };

    /// Leases a block. Returns an empty lease if not more than `leave` blocks are unused.
    Lease take(std::size_t leave = 0) {
        if (leased_ + leave >= capacity_) return {};
        if (free_.empty()) free_.push_back(std::make_unique<Block>());
        auto block = std::move(free_.back());
        free_.pop_back();
        ++leased_;
        return {this, std::move(block)};
    }
    /// Number of blocks in use.
    std::size_t leasedCount() const { return leased_; }
    /// Maximum number of blocks in use.
    std::size_t capacity() const { return capacity_; }

private:
    void release(std::unique_ptr<Block> block) {
        --leased_;
        free_.push_back(std::move(block));
    }

    std::size_t capacity_;
    std::size_t leased_ = 0;
    std::vector<std::unique_ptr<Block>> free_;
};

} // namespace zincstack::net
