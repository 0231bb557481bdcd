// Accepts the connections to the planner's address: each gets a session of the platform protocol, and probes are
// answered once the planner serves.
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
    /// Bytes that may wait for one slow reader. Beyond them it is resynchronized once it has caught up.
    static constexpr std::size_t kQueueBytesMost = 256 * 1024;

    SessionAcceptor(InputTranslator& inputs, Counters& counters, BufferPool& lineBuffers)
        : inputs_(inputs), counters_(counters), lineBuffers_(lineBuffers) {}

    std::unique_ptr<PeerProtocol> accept(Connection& connection);
    /// Probes are answered from now on, including those that wait for an answer.
    void startServing();

private:
    void answerProbe(Connection& connection);

    InputTranslator& inputs_;
    Counters& counters_;
    BufferPool& lineBuffers_;
    std::vector<std::weak_ptr<Connection>> unansweredProbes_;
    bool isServing_ = false;
};

} // namespace zincstack::net
