// Adapter between a network connection and a subscriber of the SubscriptionServer. It contains no protocol
// logic.
#pragma once

#include <memory>

#include "net/connection.h"
#include "pubsub/subscription_server.h"

namespace zincstack::pubsub {

/// Limit of the write queue of one connection. The flow-control window of a subscriber is smaller.
inline constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;

/// Creates the session of a connection that was accepted on the channel's listen address. Both arguments must
/// outlive the session.
std::unique_ptr<net::PeerProtocol> makeSubscriberSession(SubscriptionServer& server,
                                                         net::Connection& connection);

} // namespace zincstack::pubsub
