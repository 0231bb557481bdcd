#include "simwire/planner_instance.h"

#include "simwire/event_codes.h"

namespace zincstack::simwire {

PlannerInstance::PlannerInstance(ReplyWriter& reply, std::uint32_t number, std::uint64_t seed,
                                 const config::StartSettings& settings)
    : reply_(reply), number_(number), sink_(reply, number), reportColumns_(settings.reportColumns),
      planner_(makePlanner({seed, settings.fleet, settings.proxies, settings.controlChannel,
                            settings.safetyLimits, settings.requestClasses},
                           sink_)) {}

void PlannerInstance::recordFailure(std::string_view what) {
    failed_ = true;
    reply_.record(ActionCode::ReportFailure, number_, what);
}

} // namespace zincstack::simwire
