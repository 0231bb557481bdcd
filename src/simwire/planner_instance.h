// One planner that the host runs for the simulator, with its sink and the column names of its load reports.
#pragma once

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/start_settings.h"
#include "planner/planner.h"
#include "simwire/codec.h"
#include "simwire/wire_sink.h"

namespace zincstack::simwire {

/// Owns a planner and isolates the other instances of the process from its failure: if it throws, the failure
/// is written to the reply, and all later calls are ignored.
class PlannerInstance {
public:
    PlannerInstance(ReplyWriter& reply, std::uint32_t number, std::uint64_t seed,
                    const config::StartSettings& settings);

    /// Calls `call` with the planner, unless the planner has failed.
    template <class Call>
    void run(const Call& call) {
        if (failed_) return;
        try {
            call(*planner_);
        } catch (const std::exception& error) { recordFailure(error.what()); }
    }

    /// Names of the fields of a load report, in the order in which the simulator sends them.
    const std::vector<std::string>& reportColumns() const { return reportColumns_; }

    bool isInBatch = false; ///< the planner has had an event in the current batch

private:
    void recordFailure(std::string_view what);

    ReplyWriter& reply_;
    const std::uint32_t number_;
    WireSink sink_;
    const std::vector<std::string> reportColumns_;
    const std::unique_ptr<Planner> planner_;
    bool failed_ = false;
};

} // namespace zincstack::simwire
