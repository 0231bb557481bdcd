// Feeds input to a parser in pieces of random sizes, as a socket can deliver it.
#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <string_view>

namespace zincstack::tests {

/// Calls `feed` with consecutive pieces of the text. May be called only within a RapidCheck property.
void feedInPieces(std::string_view text, const auto& feed) {
    constexpr std::size_t kMaxPieceBytes = 39;
    while (!text.empty()) {
        const auto size =
            std::min<std::size_t>(text.size(), *rc::gen::inRange<std::size_t>(1, kMaxPieceBytes + 1));
        feed(text.substr(0, size));
        text.remove_prefix(size);
    }
}

} // namespace zincstack::tests
