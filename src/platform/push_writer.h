// Writes one message to a proxy as the push lines of the protocol.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metrics/counters.h"
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
};
/// The message's push lines; its parts and lines go to `counters` too.
WrittenPush writePush(const PushMessage& message, const Names& names, Counters& counters);

} // namespace zincstack::net
