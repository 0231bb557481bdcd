// Baseline of the pub-sub benchmark: a minimal transport, which encodes the whole table once per change and
// sends it to every subscriber.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "pubsub/frame.h"
#include "pubsub/message_body.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::bench {

/// Sends the whole table to all subscribers at the end of each batch with a change.
class WholeTableTransport final : public routing::UpdateTransport {
public:
    using OpenBatch = std::function<Planner&()>;

    /// `openBatch` opens a batch and returns the planner. `onAcknowledged` is called when a client has
    /// applied a table.
    WholeTableTransport(routing::RoutingState& routingState, const net::NameRegistry& names,
                        OpenBatch openBatch, std::function<void()> onAcknowledged)
        : routingState_(routingState), names_(names), openBatch_(std::move(openBatch)),
          onAcknowledged_(std::move(onAcknowledged)) {
        routingState_.addTransport(*this);
    }

    std::unique_ptr<net::PeerProtocol> makeSession(net::Connection& connection) {
        return std::make_unique<Session>(*this, connection);
    }

    void weightChanged(TableId, EndpointId, double) override { hasChanges_ = true; }
    void tableAssigned(ProxyId, TableId) override { hasChanges_ = true; }
    void exclusionChanged(EndpointId, bool) override { hasChanges_ = true; }
    void admissionChanged(std::optional<TableId>, RequestClassSet) override { hasChanges_ = true; }
    void barrierRequested(BarrierId, bool) override {}
    void endpointForgotten(EndpointId) override {}
    void sessionReplaced(ProxyId) override {}
    void flush() override {
        if (!std::exchange(hasChanges_, false) || routingState_.tables().empty()) return;
        const auto parts = encodeTable();
        for (auto& [proxy, session] : sessions_)
            for (const auto& part : parts) session->connection.push(part);
    }

private:
    struct Session final : net::PeerProtocol {
        Session(WholeTableTransport& owner, net::Connection& peerConnection)
            : transport(owner), connection(peerConnection) {}
        bool feed(std::string_view bytes) override {
            reader.feed(bytes, [&](pubsub::Frame& frame) {
                if (frame.type == pubsub::FrameType::Hello) join(frame);
                const bool isComplete = frame.type == pubsub::FrameType::Applied && !frame.more;
                if (isComplete) transport.onAcknowledged_();
                return true;
            });
            return true;
        }
        void join(const pubsub::Frame& frame) {
            proxy = pubsub::decodeHello(frame.body)->proxy;
            transport.sessions_[*proxy] = this;
            pubsub::Frame welcome{pubsub::FrameType::Welcome};
            welcome.body =
                encode(pubsub::Welcome{pubsub::kProtocolVersion, pubsub::kFeatureCompression, "whole",
                                       std::chrono::seconds(1), std::chrono::seconds(100)});
            connection.push(std::make_shared<const std::string>(encodeFrame(welcome, false)));
            transport.routingState_.proxyJoined(*proxy, {0}, transport);
            transport.openBatch_().proxyJoined(*proxy, {0}, 1, true);
        }
        bool joinDeadlineExpired(bool /*isFull*/) override { return true; }
        bool isProvisional() const override { return false; }
        void connectionClosed() override {
            transport.sessions_.erase(*proxy);
            transport.routingState_.proxyLeft(*proxy, transport);
        }
        WholeTableTransport& transport;
        net::Connection& connection;
        pubsub::FrameReader reader{pubsub::kMaxClientFrameBytes};
        std::optional<ProxyId> proxy;
    };

    std::vector<pubsub::Entry> tableEntries() const {
        // This transport has no topic for exclusions, so it sends excluded endpoints with a low weight.
        constexpr double kExcludedWeight = 0.001;
        std::vector<pubsub::Entry> entries;
        for (const auto& [endpoint, weight] : routingState_.table({0}).weights) {
            const bool isExcluded = routingState_.excludedEndpoints().contains(endpoint);
            entries.push_back({{pubsub::Key::Kind::Weight, names_.nameOf(endpoint)},
                               {isExcluded ? kExcludedWeight : weight, {}}});
        }
        return entries;
    }
    std::vector<net::SharedBytes> encodeTable() {
        const auto entries = tableEntries();
        ++sequence_;
        pubsub::Frame frame{pubsub::FrameType::Snapshot};
        frame.topic = {1};
        frame.sequence = {sequence_};
        std::vector<net::SharedBytes> parts;
        for (std::size_t first = 0; first < entries.size(); ++frame.part) {
            const std::size_t last = std::min(first + pubsub::kMaxEntriesPerPart, entries.size());
            frame.more = last < entries.size();
            frame.body = encode(pubsub::TopicBody{{"lookup"},
                                                  {entries.begin() + static_cast<std::ptrdiff_t>(first),
                                                   entries.begin() + static_cast<std::ptrdiff_t>(last)}});
            parts.push_back(std::make_shared<const std::string>(encodeFrame(frame, true)));
            first = last;
        }
        return parts;
    }

    routing::RoutingState& routingState_;
    const net::NameRegistry& names_;
    const OpenBatch openBatch_;
    const std::function<void()> onAcknowledged_;
    std::map<ProxyId, Session*> sessions_;
    std::uint64_t sequence_ = 0;
    bool hasChanges_ = false;
};

} // namespace zincstack::bench
