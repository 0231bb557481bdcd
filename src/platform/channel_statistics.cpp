#include "platform/channel_statistics.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace zincstack::net {

namespace {

constexpr Micros kTellEvery = std::chrono::seconds(1);

} // namespace

LineCounts& LineCounts::operator+=(const LineCounts& other) {
    rows += other.rows;
    withdrawals += other.withdrawals;
    readmissions += other.readmissions;
    levels += other.levels;
    framing += other.framing;
    return *this;
}

void ChannelStatistics::written(const LineCounts& lines) {
    now_.lines += lines;
    ++now_.messages;
}

void ChannelStatistics::sample(std::size_t unanswered) {
    now_.mostUnanswered = std::max(now_.mostUnanswered, unanswered);
}

bool ChannelStatistics::due(Micros now) const { return !now_.empty() && now - toldAt_ >= kTellEvery; }

void ChannelStatistics::tell(Micros now, const Standing& standing) {
    toldAt_ = now;
    const Interval last = std::exchange(now_, {});
    log::info("channel", {{"messages", last.messages},
                          {"rows", last.lines.rows},
                          {"withdrawals", last.lines.withdrawals},
                          {"readmissions", last.lines.readmissions},
                          {"levels", last.lines.levels},
                          {"framing", last.lines.framing},
                          {"answers", last.answers},
                          {"unanswered", standing.unanswered},
                          {"most_unanswered", last.mostUnanswered},
                          {"held_back", standing.heldBack},
                          {"joined", standing.joined},
                          {"unbound", standing.unbound},
                          {"streams_opened", last.opened},
                          {"streams_ended", last.ended},
                          {"taken_over", last.takenOver}});
}

} // namespace zincstack::net
