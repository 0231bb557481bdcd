// One planner that the host runs on behalf of the simulator, with its sink and the layout of its load reports.
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

/// Owns a planner. A planner that throws has failed for good: the failure is written to the reply, and later calls
/// are ignored, so that one instance can't harm the others of its process.
class PlannerInstance {
public:
    PlannerInstance(ReplyWriter& reply, std::uint32_t number, std::uint64_t seed,
                    const config::StartSettings& settings);

    /// Runs `call` on the planner, unless it has failed.
    template <class Call>
    void run(const Call& call) {
        if (failed_) return;
        try {
            call(*planner_);
        } catch (const std::exception& error) { recordFailure(error.what()); }
    }

    /// Names of the fields of a load report, in the order of the wire.
    const std::vector<std::string>& reportColumns() const { return reportColumns_; }

    bool isInBatch = false; ///< the planner has had an input in the batch that is played

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
