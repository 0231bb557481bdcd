// The protocol for watching the endpoint list: decides which request to send to discovery next, and
// interprets the responses. Performs no I/O.
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

/// A state machine that consumes the received bytes. It requests a snapshot of the list first, and then polls
/// for the changes since the last accepted revision. The revision is kept across connections, but discarded
/// after an unusable response.
class DiscoveryWatch {
public:
    /// Applies a list. False if it has an invalid member: the watch then requests a snapshot on a new
    /// connection. It is up to the handler whether it applies the valid members of such a list.
    using ListHandler = std::function<bool(EndpointListUpdate, const json::Value& members)>;

    DiscoveryWatch(std::string host, ListHandler handleList, Counters& counters,
                   std::size_t maxResponseBytes);

    /// A new connection was established. Returns the request to send.
    std::string connected();
    /// Processes received bytes. Returns the next request to send, or an empty string while the response is
    /// incomplete or if the connection is to be closed (see `usable`).
    std::string feed(std::string_view bytes);
    /// The connection has ended or timed out.
    void connectionLost();
    /// Discovery has moved to another address, where its revisions start anew.
    void addressChanged(std::string host);
    /// False if the current connection is to be closed.
    bool usable() const { return state_ != State::Disconnected; }
    /// Number of usable responses so far.
    std::uint64_t acceptedResponses() const { return acceptedResponses_; }
    /// Time allowed for the response to the last request, after which the connection is given up.
    Micros responseTimeout() const;

private:
    /// `Any` matches every state in kTransitions.
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

    /// The body of a response from discovery.
    struct EndpointList {
        const json::Value& revision;
        const json::Value& members;
        bool complete; ///< true: a snapshot; false: the changes since the requested revision
    };

    /// Performs the transition for the input. Returns the request to send, if any, or an empty string.
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
    std::optional<std::string> revision_; ///< last accepted one, formatted as in the response
    double revisionNumber_ = 0;           ///< the same, as a number
    int consecutiveOlderResponses_ = 0;
    std::uint64_t acceptedResponses_ = 0;
};

} // namespace zincstack::net
