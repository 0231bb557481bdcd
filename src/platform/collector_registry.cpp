#include "platform/collector_registry.h"

#include <algorithm>
#include <iterator>

namespace zincstack::net {

void CollectorRegistry::joined(ZoneId zone, PushStream& stream) { zones_[zone].waiting.push_back(&stream); }

void CollectorRegistry::reported(ZoneId zone, PushStream& stream) {
    left(zone, stream);
    Streams& reporting = zones_[zone].reporting;
    reporting.push_back(&stream);
    if (reporting.size() <= kNeededPerZone) return;
    PushStream* const leastRecent = reporting.front();
    reporting.pop_front();
    leastRecent->onReplaced();
}

void CollectorRegistry::left(ZoneId zone, const PushStream& stream) {
    Zone& collectors = zones_[zone];
    for (Streams* streams : {&collectors.waiting, &collectors.reporting})
        std::erase_if(*streams, [&](const PushStream* other) { return other == &stream; });
}

bool CollectorRegistry::isNeeded(ZoneId zone, const PushStream& stream) const {
    const auto found = zones_.find(zone);
    if (found == zones_.end()) return false;
    const auto contains = [&](const auto& begin, const auto& end) {
        return std::find(begin, end, &stream) != end;
    };
    const auto& [waiting, reporting] = found->second;
    const auto newest = static_cast<std::ptrdiff_t>(std::min(waiting.size(), kNeededPerZone));
    return contains(reporting.begin(), reporting.end()) ||
           contains(waiting.rbegin(), std::next(waiting.rbegin(), newest));
}

} // namespace zincstack::net
