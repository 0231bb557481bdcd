// Connects a network connection with a subscriber of the server. A thin adapter without decisions of its own.
#pragma once

#include <memory>

#include "net/connection.h"
#include "pubsub/subscription_server.h"

namespace zincstack::pubsub {

/// Bytes queued for one slow reader; the server's flow-control windows are smaller.
inline constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;

/// The session of a connection that was accepted on the channel's address. Both arguments must outlive it.
std::unique_ptr<net::PeerProtocol> makeSubscriberSession(SubscriptionServer& server,
                                                         net::Connection& connection);

} // namespace zincstack::pubsub
