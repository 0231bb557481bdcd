#include "metrics/counters.h"

#include "log/log.h"

namespace zincstack::net {

namespace {

constexpr auto kMinLogInterval = std::chrono::seconds(1); // per counter
constexpr std::size_t kMaxDetailLength = 120;             // in bytes; peers determine the text

constexpr std::string_view kNames[] = {"accepted",
                                       "closed",
                                       "refused_full",
                                       "refused_strangers",
                                       "unreadable",
                                       "bytes_in",
                                       "bytes_out",
                                       "lines_in",
                                       "alive_answered",
                                       "collectors",
                                       "hellos",
                                       "takeovers",
                                       "streams_ended",
                                       "acks",
                                       "outcomes",
                                       "demands",
                                       "lists_whole",
                                       "lists_changed",
                                       "lists_failed",
                                       "reloads",
                                       "reloads_failed",
                                       "reloads_late",
                                       "probes_sent",
                                       "probes_ok",
                                       "probes_error",
                                       "probes_rejected",
                                       "probes_timed_out",
                                       "probes_unreachable",
                                       "probes_broken",
                                       "batches",
                                       "late_batches",
                                       "messages",
                                       "parts",
                                       "order_lines",
                                       "resyncs",
                                       "bad_line",
                                       "bad_kind",
                                       "bad_field",
                                       "bad_name",
                                       "bad_mark",
                                       "out_of_place",
                                       "stale",
                                       "too_long",
                                       "no_room",
                                       "bad_entry",
                                       "subscriptions",
                                       "snapshots",
                                       "lags",
                                       "stuck",
                                       "let_go",
                                       "frames_in",
                                       "frames_out",
                                       "frames_encoded",
                                       "frames_skipped",
                                       "bad_frames",
                                       "broken_invariants"};
static_assert(std::size(kNames) == static_cast<std::size_t>(Counter::Sentinel));

} // namespace

std::string_view nameOf(Counter counter) { return kNames[static_cast<std::size_t>(counter)]; }

void Counters::recordIgnored(Counter counter, std::string_view detail) {
    add(counter);
    constexpr std::chrono::steady_clock::time_point kNever{};
    const auto now = std::chrono::steady_clock::now();
    auto& lastLoggedAt = lastLoggedAt_[indexOf(counter)];
    if (lastLoggedAt != kNever && now - lastLoggedAt < kMinLogInterval) return;
    lastLoggedAt = now;
    log::warn(
        "passed_over",
        {{"kind", nameOf(counter)}, {"so_far", of(counter)}, {"detail", detail.substr(0, kMaxDetailLength)}});
}

std::vector<std::pair<std::string_view, std::uint64_t>> Counters::all() const {
    std::vector<std::pair<std::string_view, std::uint64_t>> nonzero;
    for (std::size_t index = 0; index < kSize; ++index)
        if (values_[index] > 0) nonzero.emplace_back(kNames[index], values_[index]);
    return nonzero;
}

} // namespace zincstack::net
