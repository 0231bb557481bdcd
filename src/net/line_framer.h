// Cuts a stream of bytes, fed in any pieces, into lines. What waits for its end lies in blocks of the pool.
#pragma once

#include <algorithm>
#include <cstring>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/buffer_pool.h"

namespace zincstack::net {

inline constexpr std::size_t kLineBytesMost = std::size_t{1} << 20;

class LineFramer {
public:
    enum class Outcome { Going, Stopped, TooLong, NoRoom, Unreadable };

    explicit LineFramer(BufferPool& pool) : pool_(pool) {}

    /// Calls `line` with each whole line of at most `most()` bytes, without its end, until that says no. After
    /// another outcome than Going nothing can be framed any more.
    Outcome feed(std::string_view bytes, const auto& most,
                 const std::function<bool(std::string_view)>& line) {
        while (!bytes.empty()) {
            const auto end = bytes.find('\n');
            const auto piece = bytes.substr(0, end);
            if (kept_ + piece.size() > most()) return Outcome::TooLong;
            if (std::ranges::any_of(piece, noText)) return Outcome::Unreadable;
            if (end == std::string_view::npos) return keep(piece);
            bytes.remove_prefix(end + 1);
            if (kept_ == 0) {
                if (!line(withoutReturn(piece))) return Outcome::Stopped;
                continue;
            }
            if (const auto outcome = keep(piece); outcome != Outcome::Going) return outcome;
            const std::string whole = joined();
            blocks_.clear();
            kept_ = 0;
            if (!line(withoutReturn(whole))) return Outcome::Stopped;
        }
        return Outcome::Going;
    }
    /// How the line that waits for its end begins.
    std::string_view begun() const {
        if (kept_ == 0) return {};
        return {blocks_.front().data(), std::min(kept_, kBlockBytes)};
    }

private:
    static std::string_view withoutReturn(std::string_view text) {
        if (text.ends_with('\r')) text.remove_suffix(1);
        return text;
    }
    /// Control characters, and bytes that no text in UTF-8 has.
    static bool noText(char one) {
        const auto byte = static_cast<unsigned char>(one);
        return (byte < 0x20 && one != '\r' && one != '\t') || byte == 0x7f || byte == 0xc0 || byte == 0xc1 ||
               byte > 0xf4;
    }
    Outcome keep(std::string_view piece) {
        while (!piece.empty()) {
            const std::size_t at = kept_ % kBlockBytes;
            if (at == 0) {
                blocks_.push_back(pool_.take());
                if (!blocks_.back()) return Outcome::NoRoom;
            }
            const std::size_t part = std::min(piece.size(), kBlockBytes - at);
            std::memcpy(blocks_.back().data() + at, piece.data(), part);
            piece.remove_prefix(part);
            kept_ += part;
        }
        return Outcome::Going;
    }
    std::string joined() const {
        std::string out;
        out.reserve(kept_);
        for (const auto& block : blocks_) out.append(block.data(), std::min(kBlockBytes, kept_ - out.size()));
        return out;
    }

    BufferPool& pool_;
    std::vector<BufferPool::Lease> blocks_;
    std::size_t kept_ = 0;
};

} // namespace zincstack::net
