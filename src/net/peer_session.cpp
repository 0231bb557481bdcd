#include "net/peer_session.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zincstack::net {

namespace {

constexpr std::string_view kWords[] = {"probe", "agent", "hello", "ack", "outcomes", "demand"};

} // namespace

const PeerSession::Row PeerSession::kRows[] = {
    {State::Any, Word::Probe, State::Any, Effect::Alive},
    {State::Stranger, Word::Agent, State::Collector, Effect::Name},
    {State::Stranger, Word::Hello, State::Stream, Effect::Join},
    {State::Collector, Word::Outcomes, State::Collector, Effect::Sums},
    {State::Collector, Word::Demand, State::Collector, Effect::Usage},
    {State::Stream, Word::Demand, State::Stream, Effect::Usage},
    {State::Stream, Word::Ack, State::Stream, Effect::Applied},
};

PeerSession::PeerSession(Intake& intake, Counters& counters, BufferPool& pool, PushTarget& stream,
                         std::function<void()> alive)
    : intake_(intake), counters_(counters), stream_(stream), alive_(std::move(alive)), framer_(pool) {}

bool PeerSession::feed(std::string_view bytes) {
    counters_.add(Count::BytesIn, bytes.size());
    switch (framer_.feed(bytes, [this](std::string_view text) { line(text); })) {
    case LineFramer::Outcome::Going: return true;
    case LineFramer::Outcome::TooLong: counters_.passedOver(Count::TooLong, "a line over its limit"); break;
    case LineFramer::Outcome::NoRoom:
        counters_.passedOver(Count::NoRoom, "no buffer is left for a line");
        break;
    }
    return false;
}

void PeerSession::ended() {
    if (proxy_) intake_.ended(*proxy_, stream_);
    proxy_.reset();
}

void PeerSession::line(std::string_view text) {
    counters_.add(Count::LinesIn);
    const auto message = parseMessage(text);
    if (!message) return counters_.passedOver(Count::BadLine, text);
    const auto* const word = std::ranges::find(kWords, message->kind);
    if (word == std::end(kWords)) return counters_.passedOver(Count::BadKind, message->kind);
    const auto said = static_cast<Word>(word - std::begin(kWords));
    const auto* const row = std::ranges::find_if(kRows, [&](const Row& one) {
        return one.word == said && (one.state == state_ || one.state == State::Any);
    });
    if (row == std::end(kRows)) return counters_.passedOver(Count::OutOfPlace, text);
    if (act(row->effect, *message) && row->next != State::Any) state_ = row->next;
}

/// False where the message can't be used: the state stays.
bool PeerSession::act(Effect effect, const Message& message) {
    switch (effect) {
    case Effect::Alive: alive_(); return true;
    case Effect::Name: return intake_.agent(message);
    case Effect::Join: proxy_ = intake_.hello(message, stream_); return proxy_.has_value();
    case Effect::Applied: intake_.ack(message, *proxy_, stream_); return true;
    case Effect::Sums: intake_.outcomes(message); return true;
    case Effect::Usage: intake_.demand(message); return true;
    }
    return false;
}

} // namespace zincstack::net
