#include "platform/channel_statistics.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace zincstack::net {

namespace {

constexpr Micros kLogInterval = std::chrono::seconds(1);

} // namespace

LineCounts& LineCounts::operator+=(const LineCounts& other) {
    weights += other.weights;
    exclusions += other.exclusions;
    readmissions += other.readmissions;
    admissionLimits += other.admissionLimits;
    framing += other.framing;
    return *this;
}

void ChannelStatistics::messageWritten(const LineCounts& lines) {
    current_.lines += lines;
    ++current_.messages;
}

void ChannelStatistics::sampleUnacknowledgedLines(std::size_t lines) {
    current_.maxUnacknowledgedLines = std::max(current_.maxUnacknowledgedLines, lines);
}

bool ChannelStatistics::isDue(Micros now) const {
    return !current_.empty() && now - loggedAt_ >= kLogInterval;
}

void ChannelStatistics::logInterval(Micros now, const Gauges& gauges) {
    loggedAt_ = now;
    const Interval ended = std::exchange(current_, {});
    log::info("channel", {{"messages", ended.messages},
                          {"weights", ended.lines.weights},
                          {"exclusions", ended.lines.exclusions},
                          {"readmissions", ended.lines.readmissions},
                          {"admission_limits", ended.lines.admissionLimits},
                          {"framing", ended.lines.framing},
                          {"acknowledgements", ended.acknowledgements},
                          {"unacknowledged", gauges.unacknowledgedLines},
                          {"max_unacknowledged", ended.maxUnacknowledgedLines},
                          {"deferred", gauges.deferredLines},
                          {"joined", gauges.joinedProxies},
                          {"unassigned", gauges.unassignedProxies},
                          {"stalled", gauges.stalledProxies},
                          {"streams_opened", ended.streamsOpened},
                          {"streams_closed", ended.streamsClosed},
                          {"streams_replaced", ended.streamsReplaced}});
}

} // namespace zincstack::net
