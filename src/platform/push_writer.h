// Writes one message to a proxy as the push lines of the protocol.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metrics/counters.h"
#include "orders/names.h"

namespace zincstack::net {

struct Level {
    double level = 0;
    FurtherTries tries = FurtherTries::None;
    friend bool operator==(const Level&, const Level&) = default;
};
using Lines = std::map<ServerId, double>;
using LevelLines = std::map<ProductId, Level>;

/// What changes for one proxy in the table of some products.
struct TablePart {
    ProductSet products = 0;
    bool whole = false; ///< the lines are the whole table, and levels are forgotten
    Lines lines;
    LevelLines levels;
};
struct PushMessage {
    std::vector<TablePart> tables;
    std::set<ServerId> shut, let;
    std::optional<MarkId> mark;
};

/// The message's push lines; its parts and lines, counted as the protocol counts them, go to `counters`.
std::string writePush(const PushMessage& message, const Names& names, Counters& counters);

} // namespace zincstack::net
