// Whoever comes to the planner's address: each connection gets a session of the platform's protocol, and
// probes are answered once the planner serves.
#pragma once

#include <memory>
#include <vector>

#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "platform/input_translator.h"

namespace zincstack::net {

class SessionAcceptor {
public:
    /// Bytes that wait for one slow reader; past them it gets its tables anew once it has caught up.
    static constexpr std::size_t kQueueBytesMost = 256 * 1024;

    SessionAcceptor(InputTranslator& intake, Counters& counters, BufferPool& lines)
        : intake_(intake), counters_(counters), lines_(lines) {}

    std::unique_ptr<PeerProtocol> accept(Connection& connection);
    /// From now on probes are answered; those that wait are now.
    void startServing();

private:
    void alive(Connection& connection);

    InputTranslator& intake_;
    Counters& counters_;
    BufferPool& lines_;
    std::vector<std::weak_ptr<Connection>> asking_;
    bool serving_ = false;
};

} // namespace zincstack::net
