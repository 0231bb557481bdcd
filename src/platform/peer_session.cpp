#include "platform/peer_session.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zincstack::net {

namespace {

constexpr std::size_t kStrangersLineMost = 1024;

/// The kinds of the protocol; those after `demand` are never said to a planner, or not on this road.
constexpr std::string_view kWords[] = {"probe", "agent", "hello", "ack",  "outcomes", "demand", "push",
                                       "alive", "error", "hot",   "line", "lease",    "bye"};

} // namespace

const PeerSession::Row PeerSession::kRows[] = {
    {State::Any, Word::Probe, State::Any, Effect::Alive},
    {State::Stranger, Word::Agent, State::Collector, Effect::Name},
    {State::Stranger, Word::Hello, State::Stream, Effect::Join},
    {State::Stranger, Word::Any, State::Refused, Effect::Refuse},
    {State::Any, Word::Late, State::Any, Effect::Nothing},
    {State::Any, Word::Unreadable, State::Gone, Effect::Leave},
    {State::Collector, Word::Outcomes, State::Collector, Effect::Sums},
    {State::Collector, Word::Demand, State::Collector, Effect::Usage},
    {State::Stream, Word::Demand, State::Stream, Effect::Usage},
    {State::Stream, Word::Ack, State::Stream, Effect::Applied},
    {State::Any, Word::Any, State::Any, Effect::PassOver},
};

PeerSession::PeerSession(InputTranslator& intake, Counters& counters, BufferPool& pool, PushStream& stream,
                         std::function<void()> alive)
    : intake_(intake), counters_(counters), stream_(stream), alive_(std::move(alive)), framer_(pool) {}

/// Guards against a stream that goes on with what is no message at all: its proxy counts as left from then
/// on and dials again once this end is closed. What begins like no message is not waited for.
bool PeerSession::feed(std::string_view bytes) {
    counters_.add(Counter::BytesIn, bytes.size());
    const auto most = [this] { return stranger() ? kStrangersLineMost : kLineBytesMost; };
    switch (framer_.feed(bytes, most, [this](std::string_view text) { return line(text); })) {
    case LineFramer::Outcome::Going: {
        const auto begun = framer_.begun().substr(0, framer_.begun().find_first_of(" \r"));
        if (std::ranges::any_of(kWords, [&](auto word) { return word.starts_with(begun); })) return true;
        return said(Word::Unreadable, {}, begun);
    }
    case LineFramer::Outcome::Stopped: return false;
    case LineFramer::Outcome::Unreadable: return said(Word::Unreadable, {}, "bytes that are no text");
    case LineFramer::Outcome::TooLong:
        counters_.recordIgnored(Counter::TooLong, "a line over its limit");
        return said(Word::Unreadable, {}, "no end of a line");
    case LineFramer::Outcome::NoRoom:
        counters_.recordIgnored(Counter::NoRoom, "no buffer is left for a line");
        return said(Word::Unreadable, {}, "no room");
    }
    return false;
}

bool PeerSession::mayStay() { return said(Word::Late, {}, "nothing that joins within its time"); }

void PeerSession::ended() {
    if (proxy_) intake_.ended(*proxy_, stream_);
    proxy_.reset();
}

bool PeerSession::line(std::string_view text) {
    counters_.add(Counter::LinesIn);
    const auto message = parseMessage(text);
    const auto* const word = message ? std::ranges::find(kWords, message->kind) : std::end(kWords);
    if (word == std::end(kWords)) {
        counters_.recordIgnored(message ? Counter::BadKind : Counter::BadLine, text);
        return said(Word::Unreadable, {}, text);
    }
    return said(std::min(static_cast<Word>(word - std::begin(kWords)), Word::Other), *message, text);
}

/// False: nothing more is taken.
bool PeerSession::said(Word word, const Message& message, std::string_view text) {
    const auto* const row = std::ranges::find_if(kRows, [&](const Row& one) {
        return (one.word == word || one.word == Word::Any) &&
               (one.state == state_ || one.state == State::Any);
    });
    if (!act(row->effect, message, text)) return said(Word::Unusable, message, text);
    if (row->next != State::Any) state_ = row->next;
    return open();
}

/// False where the message can't be used.
bool PeerSession::act(Effect effect, const Message& message, std::string_view text) {
    switch (effect) {
    case Effect::Nothing: return true;
    case Effect::Alive: alive_(); return true;
    case Effect::Name: return intake_.agent(message);
    case Effect::Join: proxy_ = intake_.hello(message, stream_); return proxy_.has_value();
    case Effect::Applied: intake_.ack(message, *proxy_, stream_); return true;
    case Effect::Sums: intake_.outcomes(message); return true;
    case Effect::Usage: intake_.demand(message, proxy_); return true;
    case Effect::PassOver: counters_.recordIgnored(Counter::OutOfPlace, text); return true;
    case Effect::Refuse: counters_.recordIgnored(Counter::RefusedStranger, text); return true;
    case Effect::Leave: counters_.recordIgnored(Counter::Unreadable, text); return true;
    }
    return false;
}

} // namespace zincstack::net
