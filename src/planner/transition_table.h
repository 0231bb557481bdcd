// State machines as tables, so that all states and what ends them can be read at a glance.
//
// A table is an array of `Transition` rows. The first row whose state and input apply is taken; a row whose state is
// the enumerator `Any` applies in every state, so every state enumeration has one. No state is kept here.
#pragma once

#include <algorithm>
#include <iterator>

namespace zincstack {

/// One row: in `state`, `input` leads to the state `next` and to the action `effect`.
template <class State, class Input, class Effect>
struct Transition {
    State state;
    Input input;
    State next;
    Effect effect;
};

/// The first row that applies in `state` and whose input satisfies `holds`; null if there is none.
const auto* findTransition(const auto& rows, auto state, const auto& holds) {
    const auto applies = [&](const auto& row) {
        return (row.state == state || row.state == decltype(state)::Any) && holds(row.input);
    };
    const auto found = std::find_if(std::begin(rows), std::end(rows), applies);
    return found == std::end(rows) ? nullptr : &*found;
}

} // namespace zincstack
