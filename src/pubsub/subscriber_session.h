// Whoever comes to the channel's address: each connection becomes a subscriber of the hub. A thin driver.
#pragma once

#include <memory>

#include "net/connection.h"
#include "pubsub/subscription_server.h"

namespace zincstack::pubsub {

/// Bytes that wait for one slow reader; the hub's windows are smaller.
inline constexpr std::size_t kQueueBytesMost = 256 * 1024;

std::unique_ptr<net::PeerProtocol> makeSubscriberSession(SubscriptionServer& hub,
                                                         net::Connection& connection);

} // namespace zincstack::pubsub
