#include "discovery/discovery_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zincstack::net {

namespace {

using namespace std::chrono_literals;

// Transport limits: how long discovery is asked to hold a watch, and how late any answer may be. What is not heard
// counts as told 6 s later: a watch that has gone dead is given up, and the next call answered, before that.
constexpr Micros kWatchFor = 2s, kAnswerMost = 1500ms;
constexpr int kOlderMost = 10; // answers of an older version in a row: by now it is another count

} // namespace

const DiscoveryWatch::Row DiscoveryWatch::kRows[] = {
    {State::Apart, Input::Connected, State::AskedWhole, Effect::AskWhole},
    {State::Apart, Input::ConnectedKnowing, State::Watching, Effect::AskNewer},
    {State::AskedWhole, Input::List, State::Watching, Effect::AskNewer},
    {State::Watching, Input::List, State::Watching, Effect::AskNewer},
    {State::Any, Input::Unusable, State::Apart, Effect::LeaveAndForget},
    {State::Any, Input::Older, State::Apart, Effect::Leave},
    {State::Any, Input::Lost, State::Apart, Effect::Leave},
    {State::Any, Input::Moved, State::Apart, Effect::Forget},
};

DiscoveryWatch::DiscoveryWatch(std::string host, Told told, Counters& counters, std::size_t answerMost)
    : host_(std::move(host)), told_(std::move(told)), counters_(counters), answerMost_(answerMost) {}

std::string DiscoveryWatch::connected() {
    return step(revision_ ? Input::ConnectedKnowing : Input::Connected);
}

std::string DiscoveryWatch::feed(std::string_view bytes) {
    const std::size_t taken = response_.feed(bytes);
    if (response_.broken() || (response_.done() && taken != bytes.size())) return step(Input::Unusable);
    if (!response_.done()) return {};
    const Input input = answer();
    return step(input == Input::List && !response_.keepsOpen() ? Input::Lost : input);
}

void DiscoveryWatch::lost() {
    response_.ended();
    step(usable() && response_.done() && answer() == Input::Unusable ? Input::Unusable : Input::Lost);
}

void DiscoveryWatch::moved(std::string host) {
    host_ = std::move(host);
    step(Input::Moved);
}

Micros DiscoveryWatch::patience() const { return kAnswerMost + (state_ == State::Watching ? kWatchFor : 0s); }

std::string DiscoveryWatch::step(Input input) {
    const auto row = std::ranges::find_if(kRows, [&](const Row& one) {
        return (one.state == state_ || one.state == State::Any) && one.input == input;
    });
    counters_.checkInvariant(row != std::end(kRows));
    if (row == std::end(kRows)) return {};
    state_ = row->next;
    response_ = HttpResponse(answerMost_);
    std::string query;
    switch (row->effect) {
    case Effect::LeaveAndForget:
        revision_.reset();
        counters_.recordIgnored(Counter::ListsFailed, "an answer of discovery that can't be used");
        return {};
    case Effect::Forget: revision_.reset(); return {};
    case Effect::Leave: return {};
    case Effect::AskWhole: break;
    case Effect::AskNewer:
        query = "?index=" + *revision_ + "&wait=" +
                std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(kWatchFor).count());
    }
    return "GET /api/targets" + query + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n";
}

/// Passes a list on; where it can't be used the old one holds. Guards against a version that is older than the one
/// that is known: a server that drains by now would be taken for ready.
DiscoveryWatch::Input DiscoveryWatch::answer() {
    if (response_.status() != 200) return Input::Unusable;
    try {
        const json::Value all = json::read(response_.body());
        const json::Value &revision = json::member(all, "revision"),
                          &complete = json::member(all, "complete"), &members = json::member(all, "members");
        if (!revision.is_number() || !complete.is_boolean() || !members.is_array()) return Input::Unusable;
        if (revision_ && revision.get<double>() < version_ && ++older_ < kOlderMost) {
            counters_.recordIgnored(Counter::ListsFailed,
                                    "version " + revision.dump() + " after " + *revision_);
            return Input::Older;
        }
        const bool whole = complete.get<bool>(), anew = std::exchange(older_, 0) >= kOlderMost;
        if (anew && !whole) return Input::Unusable; // changes to a list that is not known
        if ((whole || !members.empty()) &&
            !told_(whole ? EndpointListUpdate::Snapshot : EndpointListUpdate::Delta, members))
            return Input::Unusable;
        counters_.add(whole ? Counter::ListsWhole : Counter::ListsChanged);
        revision_ = revision.dump();
        version_ = revision.get<double>();
        ++answers_;
        return Input::List;
    } catch (const InputError& error) {
        counters_.recordIgnored(Counter::ListsFailed, error.what());
        return Input::Unusable;
    }
}

} // namespace zincstack::net
