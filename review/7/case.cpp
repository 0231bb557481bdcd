// Case 7: a zone is lost for 5 s and returns cold; are its endpoints pushed over by classes that keep to the zone?
// Usage: case-7 ROOT RUN-COMMAND RECORD; TROUBLE=0 plays the same day without the loss.
#include "../standins-2/world.h"

using namespace review;

namespace {

constexpr double kDayS = 35;
constexpr double kLossAtS = 10;
constexpr double kLossS = 5;    // "a zone is lost for 5 s ... and returns cold"
constexpr double kNoticeS = 2;  // until discovery lists the loss (0.67 to 4.5 s at this site)
constexpr double kListingS = 1; // until it lists a server that has started (0.31 to 2.1 s)

awaitable<void> loseZone(World& world) {
    co_await world.sleep(kLossAtS);
    const auto lost = world.serversOf("bern");
    for (Server* server : lost) world.stopServer(*server);
    co_await world.sleep(kNoticeS);
    for (Server* server : lost) world.list(*server, "Gone");
    co_await world.sleep(kLossS - kNoticeS);
    for (Server* server : lost) world.startServer(*server);
    co_await world.sleep(kListingS);
    for (Server* server : lost) world.list(*server, "Ready");
}

Deployment deployment() {
    Deployment d;
    d.zones = {"bern", "thun", "burgdorf"};
    d.classes = {
        {.name = "slot-lookup", .aimS = 1, .deadlineS = 3, .worth = 3, .zoneBound = true, .share = 0.46},
        {.name = "slot-hold", .aimS = 1.2, .deadlineS = 4, .effect = "dedup", .worth = 2, .zoneBound = true, .share = 0.39},
        {.name = "book-confirm", .aimS = 1, .deadlineS = 2.5, .effect = "fragile", .worth = 3, .zoneBound = true, .share = 0.15}};
    d.proxyCount = 9;
    d.coldS = 16, d.startCapacity = 0.19, d.drainGraceS = 2.9, d.fallMultiple = 4, d.overloadForS = 3, d.blackholeS = 3;
    d.egressPerS = 7000, d.queueCap = 14000, d.envelope = 6, d.pushDelayS = 0.249, d.worstTransitS = 0.6225;
    d.throttleBy = "rps", d.outlierAfter = 5, d.avoidS = 5;
    d.reportsLateS = 0.8, d.redialMinS = 0.12, d.redialMaxS = 2.5;
    d.clientRetries = 3, d.backoffMinS = 0.05, d.backoffMaxS = 0.4, d.tryShare = 0.7;
    d.waitingRoom = 40, d.answerS = 0.2;
    return d;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const char* trouble = std::getenv("TROUBLE");
    const bool isDisrupted = !trouble || std::string(trouble) != "0";
    World world(deployment(), argv[1], argv[3], 7);
    constexpr double kCapacity = 14; // 2.5 cores, about 0.2 s of work
    int number = 0;
    for (const std::string zone : {"bern", "thun", "burgdorf"})
        for (int k = 0; k < 4; ++k) world.addServer("s-" + std::to_string(number++), zone, kCapacity, 1);
    const double asked = 0.6 * 12 * kCapacity; // 0.53 to 0.64 of the capacity at this site
    for (const std::string zone : {"bern", "thun", "burgdorf"})
        for (int k = 0; k < 3; ++k) world.addProxy(zone, asked / 9);
    const bool couldRun = world.play(argv[2], kDayS, isDisrupted ? loseZone : std::function<awaitable<void>(World&)>{});
    return verdict(world, couldRun, "safe fail-back");
}
