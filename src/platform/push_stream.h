// Where the orders for one proxy go: its stream, as far as the outbox knows it.
#pragma once

#include <string_view>

namespace zincstack::net {

class PushStream {
public:
    virtual ~PushStream() = default;
    /// Takes a whole message, written as fast as the reader reads; false if too much waits already.
    virtual bool push(std::string_view bytes) = 0;
    /// All that it took has been written.
    virtual bool idle() const = 0;
    /// Nothing more is said or heard here: the proxy has a newer stream.
    virtual void replaced() = 0;
};

} // namespace zincstack::net
