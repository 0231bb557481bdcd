// Buffers of one size, used again. What a connection holds beside its socket comes from here, so that the
// bound on blocks bounds the memory of all peers together.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace zincstack::net {

inline constexpr std::size_t kBlockBytes = 4 * 1024;
using Block = std::array<char, kBlockBytes>;

class BufferPool {
public:
    explicit BufferPool(std::size_t blocksMost) : blocksMost_(blocksMost) {}

    /// Owns a block until it goes out of scope; the pool must outlive it.
    class Lease {
    public:
        Lease() = default;
        Lease(BufferPool* pool, std::unique_ptr<Block> block) : pool_(pool), block_(std::move(block)) {}
        Lease(Lease&&) noexcept = default;
        Lease& operator=(Lease&& other) noexcept {
            std::swap(pool_, other.pool_);
            std::swap(block_, other.block_);
            return *this;
        }
        ~Lease() {
            if (block_) pool_->giveBack(std::move(block_));
        }
        explicit operator bool() const { return block_ != nullptr; }
        char* data() const { return block_->data(); }

    private:
        BufferPool* pool_ = nullptr;
        std::unique_ptr<Block> block_;
    };

    /// Empty when all blocks are out.
    Lease take() {
        if (free_.empty()) {
            if (out_ >= blocksMost_) return {};
            free_.push_back(std::make_unique<Block>());
        }
        auto block = std::move(free_.back());
        free_.pop_back();
        ++out_;
        return {this, std::move(block)};
    }
    std::size_t out() const { return out_; }

private:
    void giveBack(std::unique_ptr<Block> block) {
        --out_;
        free_.push_back(std::move(block));
    }
    std::size_t blocksMost_, out_ = 0;
    std::vector<std::unique_ptr<Block>> free_;
};

} // namespace zincstack::net
