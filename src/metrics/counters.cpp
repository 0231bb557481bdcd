#include "metrics/counters.h"

#include "log/log.h"

namespace zincstack::net {

namespace {

constexpr auto kTellEvery = std::chrono::seconds(1);
constexpr std::size_t kDetailMost = 120;

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
static_assert(std::size(kNames) == static_cast<std::size_t>(Counter::End_));

} // namespace

std::string_view nameOf(Counter what) { return kNames[static_cast<std::size_t>(what)]; }

void Counters::recordIgnored(Counter what, std::string_view detail) {
    add(what);
    const auto now = std::chrono::steady_clock::now();
    auto& told = toldAt_[static_cast<std::size_t>(what)];
    if (told != std::chrono::steady_clock::time_point{} && now - told < kTellEvery) return;
    told = now;
    log::warn("passed_over",
              {{"kind", nameOf(what)}, {"so_far", of(what)}, {"detail", detail.substr(0, kDetailMost)}});
}

std::vector<std::pair<std::string_view, std::uint64_t>> Counters::all() const {
    std::vector<std::pair<std::string_view, std::uint64_t>> out;
    for (std::size_t k = 0; k < kSize; ++k)
        if (all_[k]) out.emplace_back(kNames[k], all_[k]);
    return out;
}

} // namespace zincstack::net
