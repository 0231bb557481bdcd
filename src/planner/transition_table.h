// State machines as transition tables, so that all states and transitions are visible in one place.
//
// A transition table is an array of `Transition` rows. The first row whose state and input match applies. A
// row whose state is the enumerator `Any` matches every state, so every state enumeration must have one. The
// caller keeps the current state.
#pragma once

#include <algorithm>
#include <iterator>

namespace zincstack {

/// One row of a transition table: in `state`, `input` leads to the state `next` and the action `action`.
template <class State, class Input, class Action>
struct Transition {
    State state;
    Input input;
    State next;
    Action action;
};

/// Returns the first row that matches `state` and whose input satisfies the predicate `hasOccurred`, or null
/// if there is none.
const auto* findTransition(const auto& rows, auto state, const auto& hasOccurred) {
    const auto matches = [&](const auto& row) {
        return (row.state == state || row.state == decltype(state)::Any) && hasOccurred(row.input);
    };
    const auto found = std::find_if(std::begin(rows), std::end(rows), matches);
    return found == std::end(rows) ? nullptr : &*found;
}

} // namespace zincstack
