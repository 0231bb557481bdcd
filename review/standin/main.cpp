// Plays one of the cases against a planner that the caller starts: `standin CASE FOLDER RECORD`. Writes
// FOLDER/config.json, the planner's configuration. With TROUBLE=0 the disruption is left out. Exit code: 1 if a
// rule was broken, 0 if all held, 2 if the case could not run.
#include <csignal>
#include <cstring>

#include "world.h"

namespace {

/// Twelve servers: five in each of two zones, and two of one cell in the third. Two proxies in each zone.
void addFleet(World& world) {
    for (int k = 1; k <= 5; ++k) world.addServer("s-a" + std::to_string(k), world.settings.zones[0], 1);
    for (int k = 1; k <= 5; ++k) world.addServer("s-b" + std::to_string(k), world.settings.zones[1], 2);
    for (int k = 1; k <= 2; ++k) world.addServer("s-c" + std::to_string(k), world.settings.zones[2], 3);
    const double rates[] = {24, 8, 20, 10, 9, 6};
    for (int k = 0; k < world.settings.proxies; ++k)
        world.addProxy(world.settings.zones[static_cast<std::size_t>(k) / 2], rates[k]);
}

/// A server drains, ends, and a successor starts cold: what a rolling deploy does to one server.
void replaceServer(World& world, const std::string& id, const std::string& successor) {
    Loop& loop = world.loop;
    world.list(id, "Terminating");
    loop.after(3, [&world, id] {
        world.servers.at(id).up = false;
        world.list(id, "Gone");
    });
    loop.after(4.5, [&world, id, successor] {
        const Server old = world.servers.at(id);
        world.addServer(successor, old.zone, old.cell, unixMillis());
        Server& server = world.servers.at(successor);
        server.listed = false;
        server.phase = "Starting"; // not on the list yet
        server.changedAt = 0;
    });
    loop.after(5.5, [&world, successor] { world.list(successor, "Ready"); });
}

/// A rolling deploy replaces ten of the twelve servers, two at a time. The trouble: four answers to marks, one after
/// the other, of one proxy are spoilt; all its other answers are sound.
void playSpoiltAcks(World& world, bool trouble) {
    addFleet(world);
    world.writeConfig();
    world.waitForPlanner([&world, trouble] {
        world.startDay();
        Loop& loop = world.loop;
        const double start = world.aliveAt();
        const char* const pairs[][2] = {
            {"s-a1", "s-b1"}, {"s-a2", "s-b2"}, {"s-a3", "s-b3"}, {"s-a4", "s-b4"}, {"s-c1", "s-b5"}};
        double at = start + 4;
        for (const auto& pair : pairs) {
            for (const std::string id : pair)
                loop.at(at, [&world, id] { replaceServer(world, id, id + "-new"); });
            at += 6;
        }
        static int answers = 0;
        static int spoilt = 0;
        world.spoilAck = [trouble, start](Proxy& proxy, const std::string&) {
            ++answers;
            if (!trouble || proxy.number != 0 || now() < start + 4 || spoilt == 4) return false;
            ++spoilt;
            return true;
        };
        world.finish(start + 40, [&world] {
            world.log("answers to marks of all proxies: %d, spoilt: %d", answers, spoilt);
        });
    });
}

/// One class keeps to the proxy's zone. The trouble: the two servers of one cell, which are those of one zone,
/// take requests and answer none for 22 s.
void playHungZone(World& world, bool trouble) {
    world.settings.classes[1].zoneBound = true;
    addFleet(world);
    world.writeConfig();
    world.waitForPlanner([&world, trouble] {
        world.startDay();
        const double start = world.aliveAt();
        const auto setHung = [&world](bool hung) {
            world.log("servers s-c1 and s-c2 %s", hung ? "take requests and answer none" : "answer again");
            for (const char* id : {"s-c1", "s-c2"}) world.servers.at(id).hung = hung;
        };
        if (trouble) {
            world.loop.at(start + 8, [setHung] { setHung(true); });
            world.loop.at(start + 30, [setHung] { setHung(false); });
        }
        world.finish(start + 40);
    });
}

/// A client that connects, sends half a message and waits; when it is closed, it comes again.
class Stranger {
public:
    Stranger(World& world, int number, double until) : world_(world), number_(number), until_(until) {}
    void connect() {
        if (now() > until_) return;
        peer_ = Peer::connect(world_.loop, world_.plannerPort);
        if (!peer_) return comeAgain();
        connectedAt_ = now();
        peer_->closed = [this] {
            longestOpen = std::max(longestOpen, now() - connectedAt_);
            ++closes;
            comeAgain();
        };
        peer_->send("hello proxy=" + std::to_string(number_));
        peer_->start();
    }
    void leave() {
        if (peer_) peer_->drop();
    }
    int closes = 0;
    double longestOpen = 0;

private:
    void comeAgain() {
        world_.loop.after(0.05 + 0.1 * world_.uniform(), [this] { connect(); });
    }
    World& world_;
    int number_;
    double until_;
    double connectedAt_ = 0;
    std::shared_ptr<Peer> peer_;
};

/// The trouble: for 12 s hundreds of clients connect and send half a message. A server drains meanwhile.
void playStrangers(World& world, bool trouble) {
    world.settings.memoryMegabytes = 32;
    world.settings.sockets = 1024;
    world.inPieces = true;
    addFleet(world);
    world.writeConfig();
    world.redialDelay = [&world] { return 0.12 + 2.38 * world.uniform(); };
    world.waitForPlanner([&world, trouble] {
        world.startDay();
        Loop& loop = world.loop;
        const double start = world.aliveAt();
        static std::vector<std::unique_ptr<Stranger>> strangers;
        const int count = std::getenv("STRANGERS") ? std::atoi(std::getenv("STRANGERS")) : 700;
        if (trouble) {
            loop.at(start + 6, [&world] { world.log("strangers: begin to connect"); });
            for (int k = 0; k < count; ++k) {
                strangers.push_back(std::make_unique<Stranger>(world, k % 6, start + 18));
                loop.at(start + 6 + 1.0 * k / count, [raw = strangers.back().get()] { raw->connect(); });
            }
            loop.at(start + 18, [] {
                for (const auto& one : strangers) one->leave();
            });
        }
        loop.at(start + 10, [&world] { world.list("s-a3", "Terminating"); });
        world.finish(start + 26, [&world] {
            int closes = 0;
            double longest = 0;
            for (const auto& one : strangers) {
                closes += one->closes;
                longest = std::max(longest, one->longestOpen);
            }
            world.log("strangers: %zu clients were closed %d times, after %.3f s at most", strangers.size(),
                      closes, longest);
        });
    });
}

} // namespace

int main(int argumentCount, char** arguments) {
    if (argumentCount != 4) return 2;
    signal(SIGPIPE, SIG_IGN);
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::strcmp(setting, "0") != 0;
    const std::string name = arguments[1];
    Loop loop;
    World world(loop, {}, arguments[2], arguments[3]);
    world.log("case %s, disruption %s", name.c_str(), trouble ? "on" : "off");
    if (name == "spoilt-acks")
        playSpoiltAcks(world, trouble);
    else if (name == "hung-zone")
        playHungZone(world, trouble);
    else if (name == "strangers")
        playStrangers(world, trouble);
    else
        return 2;
    loop.run();
    return world.broken ? 1 : 0;
}
