// Case 6: a zone is lost for 5 s and returns cold; do classes that keep to the zone get its endpoints back?
// Usage: case-6 ROOT RUN-COMMAND RECORD; TROUBLE=0 plays the same day without the loss.
#include "../standins-2/world.h"

using namespace review;

namespace {

constexpr double kDayS = 50;
constexpr double kLossAtS = 10;
constexpr double kLossS = 5;     // "a zone is lost for 5 s ... and returns cold"
constexpr double kNoticeS = 2;   // until discovery lists the loss (0.74 to 3.1 s at this site)
constexpr double kListingS = 1.5; // until it lists a server that has started (1.1 to 2.3 s)

awaitable<void> loseZone(World& world) {
    co_await world.sleep(kLossAtS);
    const auto lost = world.serversOf("putrajaya");
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
    d.zones = {"putrajaya", "cyberjaya"};
    d.classes = {
        {.name = "result-check", .aimS = 0.8, .deadlineS = 2.5, .worth = 2, .zoneBound = true, .share = 0.59},
        {.name = "choice-update", .aimS = 0.4, .deadlineS = 1.2, .effect = "dedup", .worth = 2, .zoneBound = true, .share = 0.21},
        {.name = "offer-accept", .aimS = 0.5, .deadlineS = 1.2, .effect = "fragile", .worth = 6, .zoneBound = true, .share = 0.2}};
    d.proxyCount = 10;
    d.coldS = 16, d.startCapacity = 0.17, d.drainGraceS = 2, d.fallMultiple = 4, d.overloadForS = 2, d.blackholeS = 3;
    d.egressPerS = 5800, d.queueCap = 8700, d.envelope = 6, d.pushDelayS = 0.25, d.worstTransitS = 0.69;
    d.throttleBy = "ratio", d.outlierAfter = 3, d.avoidS = 4.5;
    d.reportsLateS = 0.8, d.redialMinS = 0.89, d.redialMaxS = 2.2;
    d.clientRetries = 3, d.backoffMinS = 0.02, d.backoffMaxS = 0.16, d.tryShare = 0.7;
    d.waitingRoom = 30, d.answerS = 0.13;
    return d;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const char* trouble = std::getenv("TROUBLE");
    const bool isDisrupted = !trouble || std::string(trouble) != "0";
    World world(deployment(), argv[1], argv[3], 6);
    constexpr double kCapacity = 15; // 3 cores, about 0.2 s of work
    constexpr int kMain = 5, kSecond = 4;
    for (int k = 0; k < kMain; ++k) world.addServer("s-p" + std::to_string(k), "putrajaya", kCapacity, 1);
    for (int k = 0; k < kSecond; ++k) world.addServer("s-c" + std::to_string(k), "cyberjaya", kCapacity, 2);
    // 0.54 of the capacity is asked for; the zones' shares are skewed by 0.27 (0.09 to 0.27 at this site).
    const double asked = 0.54 * (kMain + kSecond) * kCapacity;
    for (int k = 0; k < 6; ++k) world.addProxy("putrajaya", asked * 0.635 / 6);
    for (int k = 0; k < 4; ++k) world.addProxy("cyberjaya", asked * 0.365 / 4);
    const bool couldRun = world.play(argv[2], kDayS, isDisrupted ? loseZone : std::function<awaitable<void>(World&)>{});
    return verdict(world, couldRun, "nobody left without a server");
}
