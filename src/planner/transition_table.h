// State machines as tables: a row names a state, an input, the next state and the action that follows.
#pragma once

#include <algorithm>
#include <iterator>

namespace zincstack {

/// A row of a decision table: state, input, next state and effect; `read` finds the one that applies.
template <class State, class Input, class Effect>
struct Transition {
    State state;
    Input input;
    State next;
    Effect effect;
};
const auto* findTransition(const auto& rows, auto state, const auto& holds) {
    const auto at = std::find_if(std::begin(rows), std::end(rows), [&](const auto& row) {
        return (row.state == state || row.state == decltype(state)::Any) && holds(row.input);
    });
    return at == std::end(rows) ? nullptr : &*at;
}

} // namespace zincstack
