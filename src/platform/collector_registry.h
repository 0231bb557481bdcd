// The connections that have identified themselves as collectors, by zone. A zone has one collector, and for a
// while two when a collector restarts. Any number of peers can claim to be one, so the registry tells which
// connections are needed.
#pragma once

#include <cstddef>
#include <list>
#include <map>

#include "planner/planner.h"
#include "platform/push_stream.h"

namespace zincstack::net {

/// Refers to the connections by their streams, which must be removed with `left` before they are destroyed.
class CollectorRegistry {
public:
    /// Number of collectors per zone that are needed: of those that have reported, the ones that reported
    /// last; of the others, the newest.
    static constexpr std::size_t kNeededPerZone = 2;

    /// Adds a collector that has not reported yet.
    void joined(ZoneId zone, PushStream& stream);
    /// Records a valid report. Of the collectors that have reported, those that are not needed any more are
    /// closed (`PushStream::onReplaced`) and removed.
    void reported(ZoneId zone, PushStream& stream);
    /// Removes the collector. Has no effect if it has been removed.
    void left(ZoneId zone, const PushStream& stream);
    /// Whether the collector is needed.
    bool isNeeded(ZoneId zone, const PushStream& stream) const;

private:
    using Streams = std::list<PushStream*>;
    struct Zone {
        Streams waiting;   // without a report, the newest last
        Streams reporting; // the one that reported last is last
    };

    std::map<ZoneId, Zone> zones_;
};

} // namespace zincstack::net
