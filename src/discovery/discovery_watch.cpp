#include "discovery/discovery_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zincstack::net {

namespace {

using namespace std::chrono_literals;

// A change to an endpoint counts as reported to the planner after 6 s, even if the planner has not received
// it. These limits ensure that within this time a dead watch is given up and the next request is answered.
constexpr Micros kWatchDuration = 2s;        // for which discovery holds a watch request if nothing changes
constexpr Micros kMaxResponseDelay = 1500ms; // after that, or after the request for a snapshot

// This many consecutive responses with an older revision mean that discovery has restarted its numbering.
constexpr int kMaxConsecutiveOlderResponses = 10;

constexpr int kStatusOk = 200;

} // namespace

const DiscoveryWatch::Transition DiscoveryWatch::kTransitions[] = {
    {State::Disconnected, Input::Connected, State::AwaitingSnapshot, Effect::RequestSnapshot},
    {State::Disconnected, Input::ConnectedWithRevision, State::Watching, Effect::RequestWatch},
    {State::AwaitingSnapshot, Input::ListAccepted, State::Watching, Effect::RequestWatch},
    {State::Watching, Input::ListAccepted, State::Watching, Effect::RequestWatch},
    {State::Any, Input::UnusableResponse, State::Disconnected, Effect::DisconnectAndForgetRevision},
    {State::Any, Input::OlderRevision, State::Disconnected, Effect::Disconnect},
    {State::Any, Input::ConnectionLost, State::Disconnected, Effect::Disconnect},
    {State::Any, Input::AddressChanged, State::Disconnected, Effect::ForgetRevision},
};

DiscoveryWatch::DiscoveryWatch(std::string host, ListHandler handleList, Counters& counters,
                               std::size_t maxResponseBytes)
    : host_(std::move(host)), handleList_(std::move(handleList)), counters_(counters),
      maxResponseBytes_(maxResponseBytes) {}

std::string DiscoveryWatch::connected() {
    return step(revision_ ? Input::ConnectedWithRevision : Input::Connected);
}

std::string DiscoveryWatch::feed(std::string_view bytes) {
    const std::size_t taken = response_.feed(bytes);
    const bool hasExcess = response_.done() && taken != bytes.size();
    if (response_.broken() || hasExcess) return step(Input::UnusableResponse);
    if (!response_.done()) return {};
    const Input input = handleResponse();
    if (input == Input::ListAccepted && !response_.keepAlive()) return step(Input::ConnectionLost);
    return step(input);
}

void DiscoveryWatch::connectionLost() {
    response_.connectionClosed();
    const bool endedResponse = usable() && response_.done();
    const bool unusable = endedResponse && handleResponse() == Input::UnusableResponse;
    step(unusable ? Input::UnusableResponse : Input::ConnectionLost);
}

void DiscoveryWatch::addressChanged(std::string host) {
    host_ = std::move(host);
    step(Input::AddressChanged);
}

Micros DiscoveryWatch::responseTimeout() const {
    return kMaxResponseDelay + (state_ == State::Watching ? kWatchDuration : 0s);
}

std::string DiscoveryWatch::step(Input input) {
    const auto transition = std::ranges::find_if(kTransitions, [&](const Transition& one) {
        return (one.state == state_ || one.state == State::Any) && one.input == input;
    });
    counters_.checkInvariant(transition != std::end(kTransitions));
    if (transition == std::end(kTransitions)) return {};
    state_ = transition->next;
    response_ = HttpResponse(maxResponseBytes_);
    switch (transition->effect) {
    case Effect::RequestSnapshot: return request("");
    case Effect::RequestWatch: {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(kWatchDuration);
        return request("?index=" + *revision_ + "&wait=" + std::to_string(wait.count()));
    }
    case Effect::Disconnect: return {};
    case Effect::DisconnectAndForgetRevision:
        revision_.reset();
        counters_.recordIgnored(Counter::ListsFailed, "unusable response from discovery");
        return {};
    case Effect::ForgetRevision: revision_.reset(); return {};
    }
    return {};
}

std::string DiscoveryWatch::request(std::string_view query) const {
    return "GET /api/targets" + std::string(query) + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n";
}

DiscoveryWatch::Input DiscoveryWatch::handleResponse() {
    if (response_.status() != kStatusOk) return Input::UnusableResponse;
    try {
        const json::Value root = json::read(response_.body());
        const json::Value& revision = json::member(root, "revision");
        const json::Value& complete = json::member(root, "complete");
        const json::Value& members = json::member(root, "members");
        if (!revision.is_number() || !complete.is_boolean() || !members.is_array())
            return Input::UnusableResponse;
        return handleList({revision, members, complete.get<bool>()});
    } catch (const InputError& error) {
        counters_.recordIgnored(Counter::ListsFailed, error.what());
        return Input::UnusableResponse;
    }
}

/// Ignores a revision older than the last accepted one, since it could list an endpoint as ready that is
/// draining by now. If discovery has restarted its numbering, only a snapshot is accepted.
DiscoveryWatch::Input DiscoveryWatch::handleList(const EndpointList& list) {
    const auto revisionNumber = list.revision.get<double>();
    if (revision_ && revisionNumber < revisionNumber_ &&
        ++consecutiveOlderResponses_ < kMaxConsecutiveOlderResponses) {
        counters_.recordIgnored(Counter::ListsFailed, "revision " + list.revision.dump() +
                                                          " of the list is older than " + *revision_);
        return Input::OlderRevision;
    }
    const bool numberingRestarted =
        std::exchange(consecutiveOlderResponses_, 0) >= kMaxConsecutiveOlderResponses;
    if (numberingRestarted && !list.complete) return Input::UnusableResponse; // a delta to an unknown list
    const auto update = list.complete ? EndpointListUpdate::Snapshot : EndpointListUpdate::Delta;
    const bool hasChanges = list.complete || !list.members.empty();
    if (hasChanges && !handleList_(update, list.members)) return Input::UnusableResponse;
    counters_.add(list.complete ? Counter::ListsWhole : Counter::ListsChanged);
    revision_ = list.revision.dump();
    revisionNumber_ = revisionNumber;
    ++acceptedResponses_;
    return Input::ListAccepted;
}

} // namespace zincstack::net
