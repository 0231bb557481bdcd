// Follows the list of servers: what to ask next on a connection to discovery, and what its answers say.
// A state machine fed bytes; it knows no socket.
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

class DiscoveryWatch {
public:
    /// False: the members can't be used, and the old list holds.
    using Told = std::function<bool(EndpointListUpdate, const json::Value& members)>;

    /// `answerMost`: bytes of one answer.
    DiscoveryWatch(std::string host, Told told, Counters& counters, std::size_t answerMost);

    /// A new connection is up: the request to write.
    std::string connected();
    /// Feeds what came. The next request, if one is due; `usable()` is false once the connection is spent.
    std::string feed(std::string_view bytes);
    /// The connection has ended or fallen silent.
    void lost();
    /// Discovery is elsewhere from now on, and counts its revisions anew.
    void moved(std::string host);
    bool usable() const { return state_ != State::Apart; }
    /// How many answers could be used so far.
    std::uint64_t answers() const { return answers_; }
    /// How long an answer may take before silence means that the connection is dead.
    Micros patience() const;

private:
    enum class State { Apart, AskedWhole, Watching, Any };
    enum class Input { Connected, ConnectedKnowing, List, Older, Unusable, Lost, Moved };
    enum class Effect { AskWhole, AskNewer, Leave, LeaveAndForget, Forget };
    struct Row {
        State state;
        Input input;
        State next;
        Effect effect;
    };
    static const Row kRows[];

    std::string step(Input input);
    Input answer();

    std::string host_;
    Told told_;
    Counters& counters_;
    const std::size_t answerMost_;
    State state_ = State::Apart;
    HttpResponse response_{answerMost_};
    std::optional<std::string> revision_; // as it came, and as a figure
    double version_ = 0;
    int older_ = 0; // answers of an older version in a row
    std::uint64_t answers_ = 0;
};

} // namespace zincstack::net
