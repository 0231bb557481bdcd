// Creates a session of the platform protocol for each connection to the planner's listening address.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "platform/input_translator.h"

namespace zincstack::net {

/// Creates the sessions and answers the peers' `probe` messages. Probes that arrive before startServing()
/// stay unanswered until then.
class SessionAcceptor {
public:
    /// Bytes queued for one connection beyond which no further message is queued. A proxy that missed a
    /// message for this reason is resynchronized once it has read everything that was queued.
    static constexpr std::size_t kMaxQueuedBytes = 256 * 1024;

    SessionAcceptor(InputTranslator& inputs, Counters& counters, BufferPool& lineBuffers)
        : inputs_(inputs), counters_(counters), lineBuffers_(lineBuffers) {}

    /// Creates the session of a connection. The connection must outlive the session.
    std::unique_ptr<PeerProtocol> accept(Connection& connection);
    /// Answers the probes that have arrived so far, and from now on each further probe immediately.
    void startServing();

private:
    void answerProbe(Connection& connection);

    InputTranslator& inputs_;
    Counters& counters_;
    BufferPool& lineBuffers_;
    std::vector<std::weak_ptr<Connection>> unansweredProbes_;
    std::uint64_t acceptedCount_ = 0;
    bool isServing_ = false;
};

} // namespace zincstack::net
