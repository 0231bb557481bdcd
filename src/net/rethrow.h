// How a coroutine of the planner ends: what it could not handle ends the program, in the open.
#pragma once

#include <exception>

namespace zincstack::net {

inline void rethrow(const std::exception_ptr& failure) {
    if (failure) std::rethrow_exception(failure);
}

} // namespace zincstack::net
