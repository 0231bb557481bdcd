// Splits a byte stream into lines.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/buffer_pool.h"

namespace zincstack::net {

inline constexpr std::size_t kMaxLineBytes = std::size_t{1} << 20;
/// Bytes of an incomplete line that are kept outside the pool. All messages that the protocol needs fit.
inline constexpr std::size_t kOwnBufferBytes = 1024;

/// Accepts the stream in arbitrary pieces. The beginning of an incomplete line is kept in a small buffer of its
/// own, so that no other peer can take it away; the rest is kept in blocks of a pool, which all peers share.
/// Lines end with LF or CR LF.
class LineFramer {
public:
    enum class Outcome : std::uint8_t {
        Incomplete,   ///< all bytes have been consumed
        Stopped,      ///< the line handler returned false
        TooLong,      ///< a line is longer than allowed
        OutOfBuffers, ///< the pool has no block left for the rest of the incomplete line
        InvalidByte   ///< a control character, or a byte that never occurs in UTF-8
    };

    explicit LineFramer(BufferPool& pool) : pool_(pool) {}

    /// Number of blocks of the pool that this framer leaves to others. Blocks that it holds are kept.
    void leaveBlocks(std::size_t count) { blocksLeftToOthers_ = count; }

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

    /// The beginning of the incomplete line, at most kOwnBufferBytes of it.
    std::string_view unfinishedLine() const {
        if (unfinishedBytes_ == 0) return {};
        return {ownBuffer_->data(), std::min(unfinishedBytes_, kOwnBufferBytes)};
    }

private:
    using OwnBuffer = std::array<char, kOwnBufferBytes>;

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
        const std::string line = joinPieces();
        ownBuffer_.reset();
        blocks_.clear();
        unfinishedBytes_ = 0;
        return handleLine(withoutCarriageReturn(line)) ? Outcome::Incomplete : Outcome::Stopped;
    }

    Outcome append(std::string_view piece) {
        while (!piece.empty()) {
            const auto space = freeSpace();
            if (space.empty()) return Outcome::OutOfBuffers;
            const std::size_t part = std::min(piece.size(), space.size());
            std::memcpy(space.data(), piece.data(), part);
            piece.remove_prefix(part);
            unfinishedBytes_ += part;
        }
        return Outcome::Incomplete;
    }

    /// The unused part of the last buffer, or a new buffer if there is none. Empty if the pool has no block
    /// left for this framer.
    std::span<char> freeSpace() {
        if (!ownBuffer_) ownBuffer_ = std::make_unique<OwnBuffer>();
        if (unfinishedBytes_ < kOwnBufferBytes) return std::span(*ownBuffer_).subspan(unfinishedBytes_);
        const std::size_t used = (unfinishedBytes_ - kOwnBufferBytes) % kBlockBytes;
        if (used == 0) {
            auto block = pool_.take(blocksLeftToOthers_);
            if (!block) return {};
            blocks_.push_back(std::move(block));
        }
        return {blocks_.back().data() + used, kBlockBytes - used};
    }

    std::string joinPieces() const {
        std::string line;
        line.reserve(unfinishedBytes_);
        line.append(unfinishedLine());
        for (const auto& block : blocks_)
            line.append(block.data(), std::min(kBlockBytes, unfinishedBytes_ - line.size()));
        return line;
    }

    BufferPool& pool_;
    std::size_t blocksLeftToOthers_ = 0;
    std::unique_ptr<OwnBuffer> ownBuffer_; // only while a line is incomplete
    std::vector<BufferPool::Lease> blocks_;
    std::size_t unfinishedBytes_ = 0;
};

} // namespace zincstack::net
