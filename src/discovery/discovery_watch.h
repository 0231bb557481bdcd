// Watches the endpoint list: which request is due on a connection to discovery, and what the responses mean. Knows
// no socket.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http/http_response.h"
#include "metrics/counters.h"
#include "planner/planner.h"
#include "json/json.h"

namespace zincstack::net {

/// A state machine fed with bytes. It polls for a snapshot of the list first and then for watch events, each later
/// than the revision that it has. The revision survives a connection, but not a response that can't be used.
class DiscoveryWatch {
public:
    /// Applies a list; false where its members can't be used, and the list before stays in force.
    using ListHandler = std::function<bool(EndpointListUpdate, const json::Value& members)>;

    DiscoveryWatch(std::string host, ListHandler handleList, Counters& counters,
                   std::size_t maxResponseBytes);

    /// A new connection is up: the request to write.
    std::string connected();
    /// Takes received bytes; the next request, or none while the response is incomplete or the connection is to be
    /// closed (see `usable`).
    std::string feed(std::string_view bytes);
    /// The connection has ended or timed out.
    void connectionLost();
    /// Discovery has another address from now on, and counts its revisions from the beginning.
    void addressChanged(std::string host);
    /// Whether the current connection is of further use.
    bool usable() const { return state_ != State::Disconnected; }
    /// How many responses could be used so far.
    std::uint64_t acceptedResponses() const { return acceptedResponses_; }
    /// How long the response to the last request may take before the connection counts as dead.
    Micros responseTimeout() const;

private:
    enum class State : std::uint8_t { Disconnected, AwaitingSnapshot, Watching, Any };
    enum class Input : std::uint8_t {
        Connected,
        ConnectedWithRevision,
        ListAccepted,
        OlderRevision,
        UnusableResponse,
        ConnectionLost,
        AddressChanged
    };
    enum class Effect : std::uint8_t {
        RequestSnapshot,
        RequestWatch,
        Disconnect,
        DisconnectAndForgetRevision,
        ForgetRevision
    };
    struct Transition {
        State state;
        Input input;
        State next;
        Effect effect;
    };
    static const Transition kTransitions[];

    /// A response body in discovery's form.
    struct EndpointList {
        const json::Value& revision;
        const json::Value& members;
        bool complete; ///< a snapshot rather than the changes since the revision asked for
    };

    std::string step(Input input);
    std::string request(std::string_view query) const;
    Input handleResponse();
    Input handleList(const EndpointList& list);

    std::string host_;
    ListHandler handleList_;
    Counters& counters_;
    const std::size_t maxResponseBytes_;
    State state_ = State::Disconnected;
    HttpResponse response_{maxResponseBytes_};
    std::optional<std::string> revision_; ///< as discovery writes it
    double revisionNumber_ = 0;           ///< the same as a number
    int olderResponses_ = 0;              ///< in a row
    std::uint64_t acceptedResponses_ = 0;
};

} // namespace zincstack::net
