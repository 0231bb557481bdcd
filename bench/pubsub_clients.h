// The client process of the pub-sub benchmark: all clients in one process, steered through shared memory.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace zincstack::bench {

inline constexpr std::size_t kMaxChanges = 256;
inline constexpr std::size_t kMaxSubscribers = 2000;

/// How tables reach the clients.
enum class Transport { PubsubChannel, WholeTables, Platform };

enum class ClientCommand : int { None, DropConnections, PauseReading, ResumeReading };

/// Memory that the planner's process and the client process share.
struct SharedState {
    std::atomic<int> commandNumber{0}; ///< raised by the planner's process for each command
    std::atomic<int> commandsDone{0};  ///< by the client process
    ClientCommand command = ClientCommand::None;
    int percentOfClients = 0;                    ///< that the command is for
    std::atomic<std::uint64_t> currentChange{0}; ///< the change that is measured; 0: none
    std::atomic<std::uint32_t> receivedBy[kMaxChanges];
    std::int64_t receivedAtMicros[kMaxChanges][kMaxSubscribers]; ///< by the steady clock; 0: not yet

    /// A client has received something: its first receipt of the current change counts.
    void noteReceived(std::size_t client);
};

/// The steady clock, which both processes read.
std::int64_t steadyMicros();

/// Connects so many clients, and carries out commands until the process is killed.
[[noreturn]] void runClients(SharedState& shared, Transport transport, std::size_t subscribers,
                             const boost::asio::ip::tcp::endpoint& planner);

} // namespace zincstack::bench
