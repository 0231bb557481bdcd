// The client process of the pub-sub benchmark. It runs all clients and is controlled through shared memory.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace zincstack::bench {

inline constexpr std::size_t kMaxChanges = 256;
inline constexpr std::size_t kMaxSubscribers = 2000;

/// Transport by which tables reach the clients.
enum class Transport { PubsubChannel, WholeTables, Platform };

/// What the planner's process can ask of the clients.
enum class ClientCommand : int { None, DropConnections, PauseReading, ResumeReading };

/// Memory that the planner's process and the client process share.
struct SharedState {
    std::atomic<int> commandNumber{0}; ///< incremented by the planner's process for each command
    std::atomic<int> commandsDone{0};  ///< incremented by the client process
    ClientCommand command = ClientCommand::None;
    int percentOfClients = 0;                           ///< clients that the command applies to
    std::atomic<std::uint64_t> currentChange{0};        ///< number of the change that is measured; 0: none
    std::atomic<std::uint32_t> receivedBy[kMaxChanges]; ///< by change: number of clients that received it
    std::int64_t receivedAtMicros[kMaxChanges][kMaxSubscribers]; ///< steady clock; 0: not received

    /// Called when a client has received data. Only the first call for each client and change is recorded.
    void recordReceipt(std::size_t client);
};

/// Time of the steady clock, which is the same in both processes.
std::int64_t steadyMicros();

/// Connects `subscribers` clients, then executes commands until the process is killed.
[[noreturn]] void runClients(SharedState& shared, Transport transport, std::size_t subscribers,
                             const boost::asio::ip::tcp::endpoint& planner);

} // namespace zincstack::bench
