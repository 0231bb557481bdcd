// Splits a byte stream into lines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "net/buffer_pool.h"

namespace zincstack::net {

inline constexpr std::size_t kMaxLineBytes = std::size_t{1} << 20;

/// Accepts the stream in arbitrary pieces and keeps an incomplete line in blocks of a pool. Lines end with LF
/// or CR LF.
class LineFramer {
public:
    enum class Outcome : std::uint8_t {
        Incomplete,   ///< all bytes have been consumed
        Stopped,      ///< the line handler returned false
        TooLong,      ///< a line is longer than allowed
        OutOfBuffers, ///< the pool has no block left for the incomplete line
        InvalidByte   ///< a control character, or a byte that never occurs in UTF-8
    };

    explicit LineFramer(BufferPool& pool) : pool_(pool) {}

    /// Calls `handleLine` with each complete line, without its line ending, until the handler returns false.
    /// `maxBytes()` returns the maximum length that is allowed for the current line. After any outcome other
    /// than Incomplete the stream cannot be continued.
    Outcome feed(std::string_view bytes, const auto& maxBytes,
                 const std::function<bool(std::string_view)>& handleLine) {
        while (!bytes.empty()) {
            const auto end = bytes.find('\n');
            const auto piece = bytes.substr(0, end);
            if (unfinishedBytes_ + piece.size() > maxBytes()) return Outcome::TooLong;
            if (std::ranges::any_of(piece, isInvalidTextByte)) return Outcome::InvalidByte;
            if (end == std::string_view::npos) return append(piece);
            bytes.remove_prefix(end + 1);
            const auto outcome = finishLine(piece, handleLine);
            if (outcome != Outcome::Incomplete) return outcome;
        }
        return Outcome::Incomplete;
    }

    /// The beginning of the incomplete line, at most one block of it.
    std::string_view unfinishedLine() const {
        if (unfinishedBytes_ == 0) return {};
        return {blocks_.front().data(), std::min(unfinishedBytes_, kBlockBytes)};
    }

private:
    static std::string_view withoutCarriageReturn(std::string_view text) {
        if (text.ends_with('\r')) text.remove_suffix(1);
        return text;
    }

    /// Whether the byte is a control character other than CR and tab, or never occurs in UTF-8.
    static bool isInvalidTextByte(char character) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isControl = (byte < 0x20 && character != '\r' && character != '\t') || byte == 0x7f;
        return isControl || byte == 0xc0 || byte == 0xc1 || byte > 0xf4;
    }

    /// Passes the line that ends with `lastPiece` to the handler. A line that arrived in one piece is not
    /// copied.
    Outcome finishLine(std::string_view lastPiece, const std::function<bool(std::string_view)>& handleLine) {
        if (unfinishedBytes_ == 0)
            return handleLine(withoutCarriageReturn(lastPiece)) ? Outcome::Incomplete : Outcome::Stopped;
        if (const auto outcome = append(lastPiece); outcome != Outcome::Incomplete) return outcome;
        const std::string line = joinBlocks();
        blocks_.clear();
        unfinishedBytes_ = 0;
        return handleLine(withoutCarriageReturn(line)) ? Outcome::Incomplete : Outcome::Stopped;
    }

    Outcome append(std::string_view piece) {
        while (!piece.empty()) {
            const std::size_t used = unfinishedBytes_ % kBlockBytes;
            if (used == 0) {
                blocks_.push_back(pool_.take());
                if (!blocks_.back()) return Outcome::OutOfBuffers;
            }
            const std::size_t part = std::min(piece.size(), kBlockBytes - used);
            std::memcpy(blocks_.back().data() + used, piece.data(), part);
            piece.remove_prefix(part);
            unfinishedBytes_ += part;
        }
        return Outcome::Incomplete;
    }

    std::string joinBlocks() const {
        std::string line;
        line.reserve(unfinishedBytes_);
        for (const auto& block : blocks_)
            line.append(block.data(), std::min(kBlockBytes, unfinishedBytes_ - line.size()));
        return line;
    }

    BufferPool& pool_;
    std::vector<BufferPool::Lease> blocks_;
    std::size_t unfinishedBytes_ = 0;
};

} // namespace zincstack::net
