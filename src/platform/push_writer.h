// Writes one message to a proxy as the push lines of the protocol.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "orders/names.h"
#include "orders/order_book.h"
#include "platform/channel_report.h"

namespace zincstack::net {

/// What changes for one proxy in the table of some products.
struct TablePart {
    ProductSet products = 0;
    bool whole = false; ///< the lines are the whole table, and levels are forgotten
    orders::Lines lines;
    orders::LevelLines levels;
};
struct PushMessage {
    std::vector<TablePart> tables;
    std::set<ServerId> shut, let;
    std::optional<MarkId> mark;
};

struct WrittenPush {
    std::string bytes;
    LineCounts lines;
    std::size_t parts = 0; ///< push lines
};
WrittenPush writePush(const PushMessage& message, const Names& names);

/// Most parts that one message may have.
inline constexpr std::size_t kPartsMost = 64;
/// Levels that are alike share a line: how many lines these take.
std::size_t linesOf(const orders::LevelLines& levels);

} // namespace zincstack::net
