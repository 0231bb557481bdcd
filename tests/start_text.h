// A start text in the format that the simulator sends to each planner, with every required setting.
#pragma once

#include <string_view>

namespace zincstack::tests {

inline constexpr std::string_view kStartText =
    "Balancers=1\nClasses.count=1\nClasses.0.AimS=1.0\nClasses.0.DeadlineS=3.0\n"
    "Classes.0.Effect=retryable\nClasses.0.Worth=3.0\nContract.ColdS=16.0\n"
    "Contract.DrainGraceS=2.0\nContract.FallMultiple=4.0\nContract.OverloadForS=3.0\n"
    "Contract.StartCapacity=0.19\nDiscovery=automatic\nExtra.BlackholeS=3.0\n"
    "Extra.DataPlaneSize=6\nExtra.EgressPerS=7000.0\nExtra.Envelope=6.0\n"
    "Extra.QueueCap=14000.0\nSomething.New=word\nWeightKind=rough\nZones=a,b\n";

} // namespace zincstack::tests
