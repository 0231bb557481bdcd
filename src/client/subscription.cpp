#include "client/subscription.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zincstack::client {

using pubsub::Frame;
using pubsub::FrameType;
using pubsub::Sequence;
using pubsub::TopicId;

namespace {

using namespace std::chrono_literals;

constexpr Micros kWelcomeMost = 3s; // from the greeting; no lease is known before
constexpr int kBeatsLate = 3;       // without a move, before a snapshot is asked for

} // namespace

const Subscription::Row Subscription::kRows[] = {
    {State::Apart, Word::Connected, State::Greeting, Effect::Greet},
    {State::Apart, Word::Lost, State::Apart, Effect::Nothing},
    {State::Greeting, Word::Welcome, State::CatchingUp, Effect::Enter},
    {State::Any, Word::Parted, State::Apart, Effect::Close},
    {State::Any, Word::Unusable, State::Apart, Effect::Close},
    {State::Any, Word::Silent, State::Apart, Effect::Close},
    {State::Any, Word::Lost, State::Apart, Effect::Close},
    {State::Any, Word::Skipped, State::Any, Effect::Nothing},
    {State::Any, Word::Foreign, State::Any, Effect::Nothing},
    {State::CatchingUp, Word::Applied, State::CatchingUp, Effect::Answer},
    {State::CatchingUp, Word::Part, State::CatchingUp, Effect::AnswerPart},
    {State::CatchingUp, Word::Known, State::CatchingUp, Effect::Answer},
    {State::CatchingUp, Word::Gap, State::Behind, Effect::Ask},
    {State::CatchingUp, Word::Current, State::Live, Effect::Nothing},
    {State::CatchingUp, Word::Waiting, State::CatchingUp, Effect::Nothing},
    {State::CatchingUp, Word::Late, State::Behind, Effect::Ask},
    {State::Live, Word::Applied, State::Live, Effect::Answer},
    {State::Live, Word::Part, State::Live, Effect::AnswerPart},
    {State::Live, Word::Known, State::Live, Effect::Answer},
    {State::Live, Word::Gap, State::Behind, Effect::Ask},
    {State::Live, Word::Current, State::Live, Effect::Nothing},
    {State::Live, Word::Waiting, State::Live, Effect::Nothing},
    {State::Live, Word::Late, State::Behind, Effect::Ask},
    {State::Behind, Word::Applied, State::Behind, Effect::Answer},
    {State::Behind, Word::Part, State::Behind, Effect::AnswerPart},
    {State::Behind, Word::Known, State::Behind, Effect::Answer},
    {State::Behind, Word::Gap, State::Behind,
     Effect::Nothing}, // asked already; a beat will tell if it was lost
    {State::Behind, Word::Current, State::Live, Effect::Nothing},
    {State::Behind, Word::Waiting, State::Behind, Effect::Nothing},
    {State::Behind, Word::Late, State::Behind, Effect::Ask},
    {State::Any, Word::Welcome, State::Apart, Effect::Close}, // a second one, or before the greeting
    {State::Any, Word::Gap, State::Any, Effect::Nothing},
};

Subscription::Subscription(Identity identity, Micros foreignHold, Changed changed)
    : identity_(std::move(identity)), changed_(std::move(changed)), replica_(foreignHold) {}

std::string Subscription::connected(Micros now) {
    now_ = heardAt_ = saidAt_ = now;
    lease_ = kWelcomeMost;
    beat_ = kWelcomeMost;
    reader_ = pubsub::FrameReader(pubsub::kPlannerFrameMost);
    parting_.reset();
    refused_ = false;
    fault_.clear();
    late_.clear();
    std::string out;
    said(Word::Connected, {}, out);
    return out;
}

std::string Subscription::feed(std::string_view bytes, Micros now) {
    std::string out;
    now_ = now;
    if (!bytes.empty()) heardAt_ = now;
    const auto fault = reader_.feed(bytes, [&](Frame& frame) { return said(wordOf(frame), frame, out); });
    if (fault && usable()) {
        fault_ = *fault;
        said(Word::Unusable, {}, out);
    }
    if (!out.empty()) saidAt_ = now;
    return out;
}

std::string Subscription::tick(Micros now) {
    now_ = now;
    if (!usable()) return {};
    if (now - heardAt_ > lease_) {
        fault_ = "the planner has been silent";
        std::string none;
        said(Word::Silent, {}, none);
        return {};
    }
    if (state_ == State::Greeting || now - saidAt_ < beat_) return {};
    saidAt_ = now;
    return header(FrameType::Beat, {}, {});
}

std::string Subscription::encodeDemand(std::string_view product, std::uint32_t txns, std::uint32_t voided,
                                       Micros span) {
    if (!usable() || state_ == State::Greeting) return {};
    Frame frame{FrameType::Usage};
    frame.body = write(pubsub::DemandRecord{std::string(product), txns, voided, span});
    return writeFrame(frame, false);
}

std::string Subscription::farewell(std::string_view reason) {
    Frame frame{FrameType::Bye};
    frame.body = write(pubsub::DisconnectNotice{std::string(reason), {}});
    return writeFrame(frame, false);
}

void Subscription::connectionClosed() {
    std::string none;
    said(Word::Lost, {}, none);
}

std::string Subscription::header(FrameType type, TopicId topic, Sequence sequence) const {
    Frame frame{type};
    frame.topic = topic;
    frame.epoch = replica_.epoch();
    frame.sequence = sequence;
    return writeFrame(frame, false);
}

Subscription::Word Subscription::wordOf(const Frame& frame) {
    using Outcome = pubsub::Replica::Outcome;
    static constexpr std::pair<Outcome, Word> kWords[] = {
        {Outcome::Applied, Word::Applied}, {Outcome::Part, Word::Part},
        {Outcome::Known, Word::Known},     {Outcome::Gap, Word::Gap},
        {Outcome::Foreign, Word::Foreign}, {Outcome::Unusable, Word::Unusable}};
    switch (frame.type) {
    case FrameType::Welcome: return Word::Welcome;
    case FrameType::Refused:
    case FrameType::Bye: return Word::Parted;
    case FrameType::Beat: return wordOfBeat(frame);
    case FrameType::Snapshot:
    case FrameType::Changes: break;
    default: ++tally_.skipped; return Word::Skipped; // of a later version of the protocol
    }
    if (state_ == State::Greeting) {
        fault_ = "tables before a welcome";
        return Word::Unusable;
    }
    const auto outcome = replica_.take(frame, now_);
    if (outcome == Outcome::Unusable) fault_ = "a table that can't be read";
    if (outcome == Outcome::Gap) wanted_ = {frame.topic};
    std::uint64_t* const counts[] = {&tally_.applied, nullptr,         &tally_.known,
                                     &tally_.gaps,    &tally_.foreign, &tally_.unusable};
    if (auto* count = counts[static_cast<std::size_t>(outcome)]) ++*count;
    const auto* const found = std::ranges::find(kWords, outcome, &std::pair<Outcome, Word>::first);
    return found->second;
}

/// Guards against a tail that was lost on the way: what is missing, and has not moved for some beats, is asked
/// for. What still moves is only slow.
Subscription::Word Subscription::wordOfBeat(const Frame& frame) {
    const auto heads = pubsub::readHeads(frame.body);
    if (!heads) {
        fault_ = "a beat that can't be read";
        return Word::Unusable;
    }
    if (frame.epoch != replica_.epoch()) return Word::Foreign;
    const auto behind = replica_.behind(*heads, now_);
    decltype(late_) late;
    wanted_.clear();
    for (const TopicId topic : behind) {
        const auto at = replica_.at(topic);
        const auto before = late_.find(topic);
        const bool moved = before == late_.end() || before->second.first != at;
        int beats = moved ? 1 : before->second.second + 1;
        if (beats >= kBeatsLate) wanted_.push_back(topic), beats = 0;
        late[topic] = {at, beats};
    }
    late_ = std::move(late);
    if (behind.empty()) return Word::Current;
    return wanted_.empty() ? Word::Waiting : Word::Late;
}

/// False: nothing more is read.
bool Subscription::said(Word word, const Frame& frame, std::string& reply) {
    const auto* const row = std::ranges::find_if(kRows, [&](const Row& one) {
        return one.word == word && (one.state == state_ || one.state == State::Any);
    });
    if (row == std::end(kRows)) return usable();
    const State before = state_;
    if (row->next != State::Any) state_ = row->next;
    if (!act(row->effect, frame, reply)) {
        state_ = State::Apart;
        return false;
    }
    const bool current = state_ == State::Live && before != State::Live;
    if (changed_ && (word == Word::Applied || current))
        changed_(word == Word::Applied ? std::optional(frame.topic) : std::nullopt);
    return usable();
}

bool Subscription::act(Effect effect, const Frame& frame, std::string& reply) {
    switch (effect) {
    case Effect::Nothing: return true;
    case Effect::Greet: {
        pubsub::Hello hello;
        hello.proxy = identity_.proxy;
        hello.zone = identity_.zone;
        hello.weight = identity_.weight;
        hello.fresh = fresh_;
        hello.have = replica_.have();
        Frame out{FrameType::Hello};
        out.body = write(hello);
        reply += writeFrame(out, false);
        return true;
    }
    case Effect::Enter: {
        const auto welcome = pubsub::readWelcome(frame.body);
        if (!welcome || welcome->version != pubsub::kVersion)
            return fault_ = "a welcome that can't be used", false;
        planner_ = welcome->planner;
        beat_ = welcome->beat;
        lease_ = welcome->lease;
        replica_.connected(frame.epoch);
        return true;
    }
    case Effect::Answer:
        fresh_ = fresh_ && frame.topic == pubsub::kWithdrawnTopic;
        reply += header(FrameType::Applied, frame.topic, replica_.at(frame.topic).value_or(Sequence{}));
        return true;
    case Effect::AnswerPart: {
        Frame out{FrameType::Applied};
        out.topic = frame.topic;
        out.epoch = frame.epoch;
        out.sequence = frame.sequence;
        out.more = true;
        out.part = frame.part;
        reply += writeFrame(out, false);
        return true;
    }
    case Effect::Ask:
        for (const TopicId topic : std::exchange(wanted_, {})) {
            ++tally_.asked;
            reply += header(FrameType::Ask, topic, replica_.at(topic).value_or(Sequence{}));
        }
        return true;
    case Effect::Close:
        if (frame.type == FrameType::Bye || frame.type == FrameType::Refused)
            parting_ = pubsub::readParting(frame.body), refused_ = frame.type == FrameType::Refused;
        return true;
    }
    return false;
}

} // namespace zincstack::client
