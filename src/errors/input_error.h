// The one fault of everything that is read: what is wrong, in one plain line.
#pragma once

#include <stdexcept>

namespace zincstack {

class InputError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace zincstack
