// The completion handler of the planner's coroutines.
#pragma once

#include <exception>

namespace zincstack::net {

/// An exception that a coroutine did not handle leaves the event loop and ends the program.
inline void rethrow(const std::exception_ptr& failure) {
    if (failure) std::rethrow_exception(failure);
}

} // namespace zincstack::net
