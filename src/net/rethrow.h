// The completion handler of coroutines.
#pragma once

#include <exception>

namespace zincstack::net {

/// Rethrows an exception that a coroutine did not handle, so that it propagates out of the event loop and
/// ends the program.
inline void rethrow(const std::exception_ptr& failure) {
    if (failure) std::rethrow_exception(failure);
}

} // namespace zincstack::net
