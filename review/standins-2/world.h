// Stand-ins for one small deployment: service discovery, endpoints ("servers"), proxies with their clients,
// collectors and the platform that starts the planner. All of them are in this process, on loopback addresses and
// the real clock; the planner is a separate process, started by the command `run` of the deploy file.
//
// The stand-ins follow PROTOCOL.md ("At the planner's address", "Orders on a stream", "Probes", "Discovery") and, for
// what proxies, servers and clients do, WIRE section 14 and BENCH "This kind of system". A request between a proxy
// and a server is a call in this process, since the planner never sees one; health checks are real HTTP.
//
// The checks are the rules of WIRE section 13 with the slack of PROTOCOL "The rules on sockets".
#pragma once

#include <boost/asio.hpp>

#include <nlohmann/json.hpp>

#include <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using json = nlohmann::json;

inline constexpr double kLong = 1e9;

struct ClassSpec {
    std::string name;
    double aimS = 1;
    double deadlineS = 2.5;
    std::string effect = "retryable";
    double worth = 3;
    bool zoneBound = false;
    double share = 1; // of the requests, relative to the other classes
};

/// The settings that the planner is given, and what the stand-ins of the deployment do.
struct Deployment {
    std::vector<std::string> zones;
    std::vector<ClassSpec> classes;
    std::size_t proxyCount = 0;
    // settings
    double coldS = 16, drainGraceS = 2, fallMultiple = 4, overloadForS = 3, startCapacity = 0.19;
    double blackholeS = 3, egressPerS = 7000, envelope = 6, queueCap = 14000, pushDelayS = 0.25, worstTransitS = 0.62;
    double periodS = 1;
    int standing = 6, outlierAfter = 5, updateCap = 0;
    std::string throttleBy = "rps";
    int descriptors = 1024; // that the planner may hold
    // behaviour
    double reportsLateS = 0.8;                // of sums and of usage
    double redialMinS = 0.12, redialMaxS = 2.5; // after a broken stream
    double avoidS = 4;                        // a proxy keeps away from a server that failed it
    int clientRetries = 3;
    double backoffMinS = 0.05, backoffMaxS = 0.4;
    double tryShare = 0.7; // a try is given up after this share of the deadline
    double waitingRoom = 12; // requests that wait at a server at most
    double answerS = 0.1;      // time to answer without waiting
    double helloGapS = 0;      // above 0: a `hello` comes in two pieces, so far apart
};

class World;

struct Server {
    std::string id, zone;
    double capacity = 10; // requests a second when warm
    int cell = 1;
    tcp::endpoint address;
    std::unique_ptr<tcp::acceptor> acceptor;
    // state
    bool isUp = true;     // the process runs
    bool hasFallen = false;
    bool isSilent = false; // the machine is cut off: it takes requests and answers nothing
    bool isHanging = false; // it takes requests and answers none, but answers health checks
    double startedAt = -kLong; // on the world's clock
    double busyUntil = 0;
    std::deque<std::pair<double, bool>> work; // arrival, and whether it was sent knowing of the start
    std::size_t runs = 0, refused = 0;
    double worstMultiple = 0;

    bool isServing() const { return isUp && !hasFallen; }
};

struct TableLine {
    double weight = 0;
    double current = 0; // of the smooth weighted round robin
};

struct ClassState {
    std::map<std::string, TableLine> lines;
    std::optional<double> level;
    int again = 0;
    double tokens = 1, tokensAt = 0;
    double bareSince = -1;
    double longestBare = 0;
    unsigned came = 0, failed = 0; // since the last report
};

struct Proxy {
    int number = 0;
    std::string zone;
    double rate = 1; // requests a second, all classes
    std::vector<ClassState> classes;
    std::set<std::string> dropped;
    std::map<std::string, int> failuresInRow;
    std::map<std::string, double> avoidUntil;
    std::unique_ptr<tcp::socket> socket;
    std::uint64_t stream = 0;
    bool isJoined = false, fresh = true, mayDial = true;
    double stallsUntil = 0; // it stands still
    double notTakenSince = -1; // its first connection that the planner ended before its `hello` was complete
    double joinedAt = 0, lastMessageWrittenAt = -kLong, lastAppliedAt = 0;
    std::deque<double> messageTimes;
};

struct ListEntry {
    json value;
    std::uint64_t revision = 0;
    bool isGone = false;
};

struct Told {
    std::string phase;
    double at = 0;        // when this phase was first told
    double startedAt = 0; // as told, on the world's clock; -kLong for long ago
    double startToldAt = -kLong;
};

enum class Outcome { Served, Refused, Failed };

class World {
public:
    World(Deployment deployment, std::string root, std::string recordPath, unsigned seed)
        : deployment_(std::move(deployment)), root_(std::move(root)), record_(recordPath), random_(seed),
          address_(ownAddress()), discoveryAcceptor_(io_, tcp::endpoint(address_, 0)) {
        char directory[] = "/tmp/zincstack-review-XXXXXX";
        if (!mkdtemp(directory)) throw std::runtime_error("no temporary folder");
        directory_ = directory;
        // Holds the planner's port until the planner starts, so that no stand-in takes it.
        reservedPort_ = std::make_unique<tcp::acceptor>(io_, tcp::endpoint(address_, 0));
        listen_ = reservedPort_->local_endpoint();
    }
    ~World() {
        endPlanner();
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    asio::io_context& io() { return io_; }
    const Deployment& deployment() const { return deployment_; }
    double now() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin_).count(); }
    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }

    awaitable<void> sleep(double seconds) {
        asio::steady_timer timer(io_, std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                          std::chrono::duration<double>(std::max(seconds, 0.0))));
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
    }
    void spawn(awaitable<void> work) {
        asio::co_spawn(io_, std::move(work), [this](const std::exception_ptr& failure) {
            if (!failure) return;
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception& error) {
                note("stand-in failed: " + std::string(error.what()));
                couldRun = false;
                io_.stop();
            }
        });
    }
    void note(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", now());
        record_ << time << text << '\n';
    }
    void violation(const std::string& rule, const std::string& text) {
        if (violations[rule]++ < 5) note("BROKEN " + rule + ": " + text);
        if (violations[rule] == 1) std::cout << "broken: " << rule << ": " << text << std::endl;
    }

    // ---- set-up -------------------------------------------------------------------------------------------

    Server& addServer(const std::string& id, const std::string& zone, double capacity, int cell = 1) {
        auto server = std::make_unique<Server>();
        server->id = id;
        server->zone = zone;
        server->capacity = capacity;
        server->cell = cell;
        server->acceptor = std::make_unique<tcp::acceptor>(io_, tcp::endpoint(address_, 0));
        server->address = server->acceptor->local_endpoint();
        Server& added = *server;
        servers_[id] = std::move(server);
        spawn(serveHealth(added));
        return added;
    }
    Server& server(const std::string& id) { return *servers_.at(id); }
    std::vector<Server*> serversOf(const std::string& zone) {
        std::vector<Server*> found;
        for (auto& [id, one] : servers_)
            if (one->zone == zone) found.push_back(one.get());
        return found;
    }
    Proxy& addProxy(const std::string& zone, double rate) {
        auto proxy = std::make_unique<Proxy>();
        proxy->number = static_cast<int>(proxies_.size());
        proxy->zone = zone;
        proxy->rate = rate;
        proxy->classes.resize(deployment_.classes.size());
        proxies_.push_back(std::move(proxy));
        return *proxies_.back();
    }
    std::vector<std::unique_ptr<Proxy>>& proxies() { return proxies_; }

    // ---- discovery ----------------------------------------------------------------------------------------

    /// Lists the server; `phase` is Ready, Terminating or Gone.
    void list(const Server& server, const std::string& phase) {
        ListEntry& entry = list_[server.id];
        entry.revision = ++revision_;
        entry.isGone = phase == "Gone";
        const double started = server.startedAt <= -kLong ? 0 : unixMillisAtBegin_ + server.startedAt * 1e3;
        entry.value = {{"id", server.id},
                       {"host_port", textOf(server.address)},
                       {"locality", server.zone},
                       {"flavor", "m"},
                       {"cell", server.cell},
                       {"phase", phase},
                       {"size", server.capacity / 10},
                       {"up_since_ms", static_cast<std::uint64_t>(started)}};
        note("list " + server.id + " " + phase + " up_since=" + std::to_string(server.startedAt));
        for (auto* timer : watchers_) timer->cancel();
    }
    const std::map<std::string, Told>& told() const { return told_; }

    // ---- servers ------------------------------------------------------------------------------------------

    /// The process of the server dies: connections are refused.
    void stopServer(Server& server) {
        server.isUp = false;
        error_code ignored;
        server.acceptor->close(ignored);
        note("server " + server.id + " dies");
    }
    /// It starts again, cold, under its id and address.
    void startServer(Server& server) {
        server.isUp = true;
        server.hasFallen = server.isSilent = server.isHanging = false;
        server.startedAt = now();
        server.busyUntil = 0;
        server.work.clear();
        server.acceptor = std::make_unique<tcp::acceptor>(io_, server.address, true);
        spawn(serveHealth(server));
        note("server " + server.id + " starts, cold");
    }
    double warmth(const Server& server) const {
        const double age = now() - server.startedAt;
        const double grown = std::clamp(age / deployment_.coldS, 0.0, 1.0);
        return deployment_.startCapacity + (1 - deployment_.startCapacity) * grown;
    }

    /// Ends the proxy's stream, with a reset.
    void breakStream(Proxy& proxy) {
        if (!proxy.socket || !proxy.isJoined) return;
        error_code ignored;
        proxy.socket->set_option(asio::socket_base::linger(true, 0), ignored);
        proxy.socket->close(ignored);
    }

    // ---- the planner --------------------------------------------------------------------------------------

    json settings() const {
        json classes = json::array();
        json zoneBound = json::array(), writes = json::array();
        for (const ClassSpec& one : deployment_.classes) {
            classes.push_back({{"Name", one.name}, {"AimS", one.aimS}, {"DeadlineS", one.deadlineS},
                               {"Effect", one.effect}, {"Group", "all"}, {"RepeatWindowS", 5.0},
                               {"Worth", one.worth}, {"LateWorth", 0.1}});
            zoneBound.push_back(one.zoneBound);
            writes.push_back(one.effect != "retryable");
        }
        const Deployment& d = deployment_;
        return {{"Balancers", 1}, {"Me", 0}, {"TickS", 0.005}, {"Zones", d.zones}, {"Zone", 0},
                {"WeightKind", "rough"}, {"Discovery", "automatic"}, {"Classes", classes},
                {"Contract", {{"ColdS", d.coldS}, {"DrainGraceS", d.drainGraceS}, {"FallMultiple", d.fallMultiple},
                              {"OverloadForS", d.overloadForS}, {"StartCapacity", d.startCapacity}}},
                {"Extra", {{"BlackholeS", d.blackholeS}, {"DataPlaneSize", d.proxyCount}, {"EgressPerS", d.egressPerS},
                           {"Envelope", d.envelope}, {"QueueCap", d.queueCap}, {"PeriodS", d.periodS},
                           {"PushDelayS", d.pushDelayS}, {"WorstTransitS", d.worstTransitS}, {"ThrottleBy", d.throttleBy},
                           {"Standing", d.standing}, {"OutlierAfter", d.outlierAfter}, {"UpdateCap", d.updateCap},
                           {"UpdateWindowS", 10.0}, {"IntakePerS", 750.0}, {"BaseMode", 0}, {"PerTry", 1.2},
                           {"Ranges", 0}, {"SelectsBy", "wheel"}, {"SoleOwner", false}, {"ZoneBound", zoneBound},
                           {"ClassWrites", writes}, {"LocalFirst", false}}},
                {"Allowed", {{"MayProbe", true}, {"Peers", false}, {"ConnectTimeoutS", 0.25}}},
                {"Reporting", {{"Columns", {"busy", "q"}}, {"Via", "answers"}}}};
    }

    void startPlanner(const std::string& runCommand) {
        const json known = wholeList();
        const std::string listen = textOf(listen_);
        const std::string discovery = textOf(discoveryAcceptor_.local_endpoint());
        char seed[17];
        std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(random_()) << 20U | random_());
        const json config = {{"name", "n1"}, {"listen", listen}, {"discovery", discovery}, {"seed", seed},
                             {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", deployment_.descriptors}}},
                             {"known", known}, {"settings", settings()}};
        const std::string configPath = directory_ + "/config.json";
        std::ofstream(configPath) << config.dump(1);
        const std::string logPath = directory_ + "/planner.log";
        runCommand_ = runCommand;
        reservedPort_.reset();
        planner_ = fork();
        if (planner_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this process, whatever ends that
            if (chdir(root_.c_str()) != 0) _exit(127);
            setenv("PROXY_CONFIG", configPath.c_str(), 1);
            setenv("PROXY_NAME", "n1", 1);
            setenv("PROXY_LISTEN", listen.c_str(), 1);
            setenv("PROXY_DISCOVERY", discovery.c_str(), 1);
            setenv("TMPDIR", directory_.c_str(), 1);
            if (!std::freopen(logPath.c_str(), "a", stdout) || !std::freopen(logPath.c_str(), "a", stderr)) _exit(127);
            for (int descriptor = 3; descriptor < 1024; ++descriptor) close(descriptor);
            execl("/bin/sh", "sh", "-c", runCommand_.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        firstAnswerAt_ = kLong;
        note("planner started");
    }
    /// Ends the planner; `signal` is SIGKILL for an outright kill.
    void endPlanner(int signal = SIGKILL) {
        if (planner_ <= 0) return;
        kill(planner_, signal);
        waitpid(planner_, nullptr, 0);
        planner_ = -1;
    }
    pid_t planner() const { return planner_; }
    const tcp::endpoint& plannerAddress() const { return listen_; }
    /// What each server ran, and the most that it was sent while cold, as a multiple of what it could do.
    void noteServers() {
        for (const auto& [id, one] : servers_) {
            std::ostringstream text;
            text << "server " << id << " ran " << one->runs << ", turned away " << one->refused << ", most while cold "
                 << one->worstMultiple << " times its capacity" << (one->hasFallen ? ", fell over" : "");
            note(text.str());
        }
    }
    /// Copies the planner's log behind the record.
    void copyPlannerLog() {
        std::ifstream log(directory_ + "/planner.log");
        record_ << "---- log of the planner ----\n" << log.rdbuf();
    }
    awaitable<bool> plannerAnswers(double withinS) {
        const double until = now() + withinS;
        while (now() < until) {
            tcp::socket socket(io_);
            error_code error;
            co_await socket.async_connect(listen_, asio::redirect_error(use_awaitable, error));
            if (!error) {
                asio::write(socket, asio::buffer(std::string("probe\r\n")), error);
                asio::streambuf buffer;
                co_await asio::async_read_until(socket, buffer, "\r\n", asio::redirect_error(use_awaitable, error));
                if (!error) {
                    firstAnswerAt_ = now();
                    note("planner answers");
                    co_return true;
                }
            }
            co_await sleep(0.1);
        }
        co_return false;
    }

    // ---- the day ------------------------------------------------------------------------------------------

    /// Starts discovery, the planner, collectors, proxies and clients, and plays `disruptions` beside them.
    /// Returns false if the planner did not come up.
    bool play(const std::string& runCommand, double seconds, const std::function<awaitable<void>(World&)>& disruptions) {
        for (auto& [id, one] : servers_) list(*one, "Ready");
        spawn(serveDiscovery());
        spawn(run(runCommand, seconds, disruptions));
        io_.run();
        if (planner_ > 0 && waitpid(planner_, nullptr, WNOHANG) != 0) {
            planner_ = -1;
            violation("crash", "the planner has ended");
        }
        return couldRun;
    }

    std::map<std::string, int> violations;
    bool couldRun = true;
    double slowness = 1;    // of the channel
    double worstSlowness = 1; // by which the times in the rules grow
    unsigned long asked = 0, served = 0, gaveUp = 0;
    std::map<std::string, unsigned long> servedByZone, askedByZone;
    double maxWaitingLines = 0;

private:
    /// A loopback address that no outgoing connection uses as its source, so that a port that is closed for a while
    /// cannot be taken by one.
    static asio::ip::address ownAddress() {
        const auto own = static_cast<unsigned>(getpid());
        std::ostringstream text;
        text << "127." << 64 + own % 128 << '.' << 1 + own / 128 % 250 << '.' << 1 + std::random_device{}() % 250;
        return asio::ip::make_address(text.str());
    }
    static std::string textOf(const tcp::endpoint& endpoint) {
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    awaitable<void> run(std::string runCommand, double seconds, std::function<awaitable<void>(World&)> disruptions) {
        for (auto& proxy : proxies_) giveStandingTable(*proxy);
        startPlanner(runCommand);
        spawn(giveUpUnlessStarted(40));
        if (!co_await plannerAnswers(30)) {
            couldRun = false;
            io_.stop();
            co_return;
        }
        for (const std::string& zone : deployment_.zones) spawn(collector(zone));
        for (auto& proxy : proxies_) {
            spawn(proxyStream(*proxy));
            spawn(reportUsage(*proxy));
            for (std::size_t index = 0; index < deployment_.classes.size(); ++index) spawn(clients(*proxy, index));
        }
        spawn(checkRules());
        if (disruptions) spawn(disruptions(*this));
        co_await sleep(seconds);
        io_.stop();
    }

    awaitable<void> giveUpUnlessStarted(double within) {
        co_await sleep(within);
        if (firstAnswerAt_ < kLong) co_return;
        note("the planner did not answer");
        couldRun = false;
        io_.stop();
    }

    // ---- discovery ----------------------------------------------------------------------------------------

    json wholeList() const {
        json members = json::array();
        for (const auto& [id, entry] : list_)
            if (!entry.isGone) members.push_back(entry.value);
        return {{"revision", revision_}, {"complete", true}, {"members", members}};
    }
    json changesSince(std::uint64_t revision) const {
        json members = json::array();
        for (const auto& [id, entry] : list_)
            if (entry.revision > revision) members.push_back(entry.value);
        return {{"revision", revision_}, {"complete", false}, {"members", members}};
    }
    void tell(const json& answer) {
        for (const json& member : answer["members"]) {
            Told& told = told_[member["id"].get<std::string>()];
            const std::string phase = member["phase"];
            const double millis = member["up_since_ms"].get<double>();
            const double startedAt = millis <= 0 ? -kLong : (millis - unixMillisAtBegin_) / 1e3;
            if (told.phase != phase) told.at = now();
            if (told.startedAt != startedAt && startedAt > -kLong) told.startToldAt = now();
            told.phase = phase;
            told.startedAt = startedAt;
        }
        if (!answer["complete"].get<bool>()) return;
        for (auto& [id, told] : told_) {
            const auto entry = list_.find(id);
            if ((entry == list_.end() || entry->second.isGone) && told.phase != "Gone") told.phase = "Gone", told.at = now();
        }
    }
    awaitable<void> serveDiscovery() {
        for (;;) {
            tcp::socket socket(io_);
            error_code error;
            co_await discoveryAcceptor_.async_accept(socket, asio::redirect_error(use_awaitable, error));
            if (error) co_return;
            spawn(serveWatch(std::move(socket)));
        }
    }
    awaitable<void> serveWatch(tcp::socket socket) {
        asio::streambuf buffer;
        for (;;) {
            error_code error;
            const std::size_t size =
                co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::redirect_error(use_awaitable, error));
            if (error) co_return;
            const std::string head(asio::buffers_begin(buffer.data()), asio::buffers_begin(buffer.data()) + static_cast<long>(size));
            buffer.consume(size);
            json answer;
            const auto index = head.find("index=");
            if (index == std::string::npos) {
                answer = wholeList();
            } else {
                const std::uint64_t known = std::strtoull(head.c_str() + index + 6, nullptr, 10);
                const auto wait = head.find("wait=");
                const double waitS = wait == std::string::npos ? 0 : std::strtod(head.c_str() + wait + 5, nullptr) / 1e3;
                const double until = now() + std::min(waitS, 60.0);
                while (revision_ <= known && now() < until) {
                    asio::steady_timer timer(io_, std::chrono::milliseconds(static_cast<long>((until - now()) * 1e3) + 1));
                    watchers_.insert(&timer);
                    error_code ignored;
                    co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
                    watchers_.erase(&timer);
                }
                answer = changesSince(known);
            }
            const std::string body = answer.dump();
            const std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body;
            asio::write(socket, asio::buffer(text), error);
            if (error) co_return;
            tell(answer);
            if (!answer["members"].empty()) note("told revision " + answer["revision"].dump());
        }
    }

    // ---- servers ------------------------------------------------------------------------------------------

    awaitable<void> serveHealth(Server& server) {
        tcp::acceptor& acceptor = *server.acceptor;
        for (;;) {
            tcp::socket socket(io_);
            error_code error;
            co_await acceptor.async_accept(socket, asio::redirect_error(use_awaitable, error));
            if (error) co_return;
            spawn(answerHealth(server, std::move(socket)));
        }
    }
    awaitable<void> answerHealth(Server& server, tcp::socket socket) {
        asio::streambuf buffer;
        error_code error;
        co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::redirect_error(use_awaitable, error));
        if (error) co_return;
        while (server.isSilent) co_await sleep(0.1);
        const std::string body = "TEXT util=" + std::to_string(utilization(server)) + ", queue=" + std::to_string(queueOf(server));
        const std::string text = "HTTP/1.1 " + std::string(server.isServing() ? "200 OK" : "503 Service Unavailable") +
                                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
        asio::write(socket, asio::buffer(text), error);
        note("health check of " + server.id);
    }
    int queueOf(const Server& server) const {
        return static_cast<int>(std::max(server.busyUntil - now(), 0.0) * server.capacity * warmth(server));
    }
    double utilization(const Server& server) const { return server.busyUntil > now() ? 1 : 0.5; }

    /// Rule 4: the work sent to a cold server within any window of OverloadForS.
    void countWork(Server& server, bool isKnowing) {
        if (now() - server.startedAt > deployment_.coldS) return server.work.clear();
        server.work.emplace_back(now(), isKnowing);
        while (now() - server.work.front().first > deployment_.overloadForS) server.work.pop_front();
        const double capacity = server.capacity * warmth(server) * deployment_.overloadForS;
        const double budget = deployment_.fallMultiple * capacity;
        const double slack = 3 + 0.1 * budget; // "a little slack for chance"
        const auto sent = static_cast<double>(server.work.size());
        server.worstMultiple = std::max(server.worstMultiple, sent / capacity);
        if (sent <= budget + slack) return;
        const auto knowing = static_cast<double>(std::ranges::count_if(server.work, [](const auto& one) { return one.second; }));
        server.hasFallen = true;
        spawn(listAsGone(server));
        std::ostringstream text;
        text << "server " << server.id << " falls over, cold for " << now() - server.startedAt << " s: sent " << sent << " within "
             << deployment_.overloadForS << " s, its capacity then is " << capacity << ", " << knowing << " of them by proxies that know";
        note(text.str());
        if (knowing >= sent * 2 / 3) violation("safe fail-back", text.str());
    }

    awaitable<void> listAsGone(Server& server) {
        co_await sleep(2); // discovery notices that the process has ended
        list(server, "Gone");
    }

    // ---- proxies ------------------------------------------------------------------------------------------

    void giveStandingTable(Proxy& proxy) {
        std::vector<std::string> own, all;
        for (const auto& [id, one] : servers_) {
            const auto entry = list_.find(id);
            if (entry == list_.end() || entry->second.value["phase"] != "Ready") continue;
            all.push_back(id);
            if (one->zone == proxy.zone) own.push_back(id);
        }
        for (std::size_t index = 0; index < deployment_.classes.size(); ++index) {
            auto from = own.size() >= 3 || deployment_.classes[index].zoneBound ? own : all;
            std::ranges::shuffle(from, random_);
            proxy.classes[index].lines.clear();
            for (std::size_t k = 0; k < from.size() && k < static_cast<std::size_t>(deployment_.standing); ++k)
                proxy.classes[index].lines[from[k]] = {1, uniform(-1, 1)};
        }
    }
    awaitable<void> proxyStream(Proxy& proxy) {
        co_await sleep(uniform(0, 0.2));
        for (;;) {
            if (proxy.mayDial) {
                proxy.socket = std::make_unique<tcp::socket>(io_);
                error_code error;
                co_await proxy.socket->async_connect(listen_, asio::redirect_error(use_awaitable, error));
                if (!error) co_await followStream(proxy);
            }
            co_await sleep(uniform(deployment_.redialMinS, deployment_.redialMaxS));
        }
    }
    awaitable<void> followStream(Proxy& proxy) {
        error_code error;
        proxy.socket->set_option(tcp::no_delay(true), error);
        std::ostringstream hello;
        hello << "hello proxy=" << proxy.number << " zone=" << proxy.zone << " weight=" << proxy.rate << " fresh=" << (proxy.fresh ? 1 : 0) << "\r\n";
        const std::string text = hello.str();
        const std::size_t first = deployment_.helloGapS > 0 ? text.size() / 2 : text.size();
        asio::write(*proxy.socket, asio::buffer(text.data(), first), error);
        if (error) co_return;
        if (first < text.size()) {
            const double begunAt = now();
            co_await sleep(deployment_.helloGapS);
            char byte = 0;
            const bool isEnded = recv(proxy.socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
            if (!isEnded) asio::write(*proxy.socket, asio::buffer(text.data() + first, text.size() - first), error);
            if (isEnded || error) {
                note("proxy " + std::to_string(proxy.number) + " is not taken: its connection was ended before its hello was complete");
                if (proxy.notTakenSince < 0) proxy.notTakenSince = begunAt;
                proxy.socket->close(error);
                co_return;
            }
        }
        proxy.notTakenSince = -1;
        const std::uint64_t stream = ++proxy.stream;
        proxy.isJoined = true;
        proxy.joinedAt = now();
        proxy.lastAppliedAt = 0;
        proxy.messageTimes.clear();
        for (ClassState& one : proxy.classes) one.bareSince = -1;
        note("proxy " + std::to_string(proxy.number) + " joins");
        std::string pending;
        asio::streambuf buffer;
        for (;;) {
            const std::size_t size =
                co_await asio::async_read_until(*proxy.socket, buffer, "\r\n", asio::redirect_error(use_awaitable, error));
            if (error) break;
            const std::string line(asio::buffers_begin(buffer.data()), asio::buffers_begin(buffer.data()) + static_cast<long>(size) - 2);
            buffer.consume(size);
            if (!line.starts_with("push")) continue;
            pending += line + "\n";
            if (line.find(" part=1") != std::string::npos) continue;
            enterChannel(proxy, stream, std::exchange(pending, {}));
        }
        proxy.isJoined = false;
        ++proxy.stream;
        note("proxy " + std::to_string(proxy.number) + " has lost its stream: " + error.message());
        proxy.socket->close(error);
    }
    static std::vector<std::string> split(const std::string& text, char separator) {
        std::vector<std::string> items;
        std::stringstream stream(text);
        for (std::string item; std::getline(stream, item, separator);)
            if (!item.empty()) items.push_back(item);
        return items;
    }
    /// Messages leave the channel one after another at EgressPerS and reach the proxy PushDelayS later.
    void enterChannel(Proxy& proxy, std::uint64_t stream, const std::string& message) {
        double lines = deployment_.envelope;
        for (const std::string& word : split(message, ' ')) {
            const auto value = word.substr(std::min(word.find('=') + 1, word.size()));
            if (word.starts_with("rows=") || word.starts_with("drop=") || word.starts_with("undrop="))
                lines += static_cast<double>(split(value, ',').size());
            if (word.starts_with("gate=") || word.starts_with("stamp=") || word.starts_with("replace=1")) ++lines;
        }
        note("proxy " + std::to_string(proxy.number) + " is sent " + message.substr(0, message.size() - 1));
        channelFreeAt_ = std::max(channelFreeAt_, now()) + lines * slowness / deployment_.egressPerS;
        const double waiting = (channelFreeAt_ - now()) * deployment_.egressPerS / slowness;
        maxWaitingLines = std::max(maxWaitingLines, waiting);
        if (waiting > deployment_.queueCap) violation("short queue", std::to_string(waiting) + " lines wait");
        proxy.messageTimes.push_back(now());
        while (now() - proxy.messageTimes.front() > 10) proxy.messageTimes.pop_front();
        if (deployment_.updateCap > 0 && proxy.messageTimes.size() > static_cast<std::size_t>(deployment_.updateCap))
            violation("short queue", std::to_string(proxy.messageTimes.size()) + " messages to one proxy within 10 s");
        const double writtenAt = now();
        const double arrival = std::max(channelFreeAt_ + slowness * deployment_.pushDelayS * uniform(0.5, 1.5), proxy.lastAppliedAt + 0.001);
        proxy.lastAppliedAt = arrival; // in order
        spawn(applyLater(proxy, stream, message, writtenAt, arrival));
    }
    awaitable<void> applyLater(Proxy& proxy, std::uint64_t stream, std::string message, double writtenAt, double at) {
        co_await sleep(at - now());
        while (now() < proxy.stallsUntil) co_await sleep(proxy.stallsUntil - now());
        if (proxy.stream != stream) co_return; // lost with the stream
        for (const std::string& part : split(message, '\n')) applyPart(proxy, part);
        proxy.lastMessageWrittenAt = writtenAt;
        proxy.fresh = false;
        const auto stamp = message.rfind(" stamp=");
        if (stamp == std::string::npos) co_return;
        std::ostringstream ack;
        ack << "ack proxy=" << proxy.number << " mark=" << std::strtoul(message.c_str() + stamp + 7, nullptr, 10)
            << " took_ms=" << (now() - writtenAt) * 1e3 << "\r\n";
        error_code error;
        asio::write(*proxy.socket, asio::buffer(ack.str()), error);
    }
    void applyPart(Proxy& proxy, const std::string& part) {
        std::vector<std::size_t> classes;
        for (std::size_t index = 0; index < deployment_.classes.size(); ++index) classes.push_back(index);
        std::vector<std::pair<std::string, double>> rows;
        bool replaces = false;
        std::optional<double> level;
        int again = 0;
        for (const std::string& word : split(part, ' ')) {
            const auto equals = word.find('=');
            if (equals == std::string::npos) continue;
            const std::string name = word.substr(0, equals), value = word.substr(equals + 1);
            if (name == "for") {
                classes.clear();
                for (const std::string& one : split(value, '+'))
                    for (std::size_t index = 0; index < deployment_.classes.size(); ++index)
                        if (deployment_.classes[index].name == one) classes.push_back(index);
            } else if (name == "replace") {
                replaces = value == "1";
            } else if (name == "rows") {
                for (const std::string& row : split(value, ',')) {
                    const auto colon = row.rfind(':');
                    rows.emplace_back(row.substr(0, colon), std::strtod(row.c_str() + colon + 1, nullptr));
                }
            } else if (name == "gate") {
                level = std::strtod(value.c_str(), nullptr);
            } else if (name == "again") {
                again = std::atoi(value.c_str());
            } else if (name == "drop") {
                for (const std::string& one : split(value, ',')) proxy.dropped.insert(one);
            } else if (name == "undrop") {
                for (const std::string& one : split(value, ',')) proxy.dropped.erase(one);
            }
        }
        for (const std::size_t index : classes) {
            ClassState& state = proxy.classes[index];
            if (replaces) {
                state.lines.clear();
                state.level.reset();
                state.again = 0;
            }
            for (const auto& [id, weight] : rows) {
                const auto [line, isNew] = state.lines.try_emplace(id);
                line->second.weight = weight;
                if (isNew) line->second.current = uniform(-1, 1) * weight; // proxies are not in step
                if (weight <= 0)
                    state.lines.erase(id);
            }
            if (!level) continue;
            state.level = level;
            state.again = again;
            if (again >= 2 && deployment_.classes[index].effect == "fragile")
                violation("no effect twice", "again=" + std::to_string(again) + " for " + deployment_.classes[index].name);
        }
    }
    bool admits(ClassState& state) {
        if (!state.level) return true;
        if (deployment_.throttleBy == "ratio") return uniform(0, 1) < *state.level;
        const double level = *state.level;
        state.tokens = std::min(state.tokens + (now() - state.tokensAt) * level, std::max(level, 1.0));
        state.tokensAt = now();
        if (state.tokens < 1) return false;
        state.tokens -= 1;
        return true;
    }
    Server* pick(Proxy& proxy, std::size_t index, const Server* other) {
        ClassState& state = proxy.classes[index];
        for (const bool avoiding : {true, false}) {
            double total = 0;
            std::pair<const std::string, TableLine>* best = nullptr;
            for (auto& line : state.lines) {
                if (proxy.dropped.contains(line.first) || !servers_.contains(line.first)) continue;
                if (other && line.first == other->id) continue;
                if (avoiding && now() < proxy.avoidUntil[line.first]) continue;
                line.second.current += line.second.weight;
                total += line.second.weight;
                if (!best || line.second.current > best->second.current) best = &line;
            }
            if (!best) continue;
            best->second.current -= total;
            return servers_.at(best->first).get();
        }
        return nullptr;
    }

    struct ZoneSums {
        unsigned tries = 0, failed = 0;
        double latency = 0;
    };
    enum class Try { Served, NeverRan, Unknown };

    awaitable<Try> sendTo(Proxy& proxy, std::size_t index, Server& server, double timeoutS) {
        const double sentAt = now();
        checkDrain(proxy, server);
        Try result = Try::Unknown;
        if (!server.isServing()) {
            co_await sleep(0.001); // the connection is refused
            result = Try::NeverRan;
        } else {
            const auto told = told_.find(server.id);
            const double startTold = told == told_.end() ? kLong : told->second.startToldAt;
            const bool isKnowing = startTold >= server.startedAt &&
                                   (proxy.lastMessageWrittenAt > startTold || now() - startTold > deployment_.drainGraceS);
            countWork(server, isKnowing);
            const double rate = server.capacity * warmth(server);
            const double wait = std::max(server.busyUntil - now(), 0.0);
            if (!server.isServing()) {
                co_await sleep(0.001);
                result = Try::NeverRan;
            } else if (wait * rate > deployment_.waitingRoom) {
                ++server.refused; // turned away unseen
                co_await sleep(0.002);
                result = Try::NeverRan;
            } else {
                server.busyUntil = std::max(server.busyUntil, now()) + 1 / rate;
                ++server.runs;
                const double answerIn = server.busyUntil - now() + deployment_.answerS;
                const double startedAt = server.startedAt;
                co_await sleep(std::min(answerIn, timeoutS));
                const bool isAlive = server.isServing() && server.startedAt == startedAt;
                const bool answers = !server.isSilent && !server.isHanging;
                if (!answers) co_await sleep(timeoutS - answerIn);
                result = answerIn <= timeoutS && isAlive && answers ? Try::Served : Try::Unknown;
            }
        }
        ZoneSums& sums = sums_[proxy.zone][server.id];
        ++sums.tries;
        if (result == Try::Served) {
            sums.latency += now() - sentAt;
            proxy.failuresInRow[server.id] = 0;
        } else {
            ++sums.failed;
            if (deployment_.outlierAfter > 0 && ++proxy.failuresInRow[server.id] >= deployment_.outlierAfter) {
                proxy.failuresInRow[server.id] = 0;
                proxy.avoidUntil[server.id] = now() + deployment_.avoidS;
            }
        }
        (void)index;
        co_return result;
    }
    awaitable<Outcome> forward(Proxy& proxy, std::size_t index, double timeoutS) {
        ClassState& state = proxy.classes[index];
        while (now() < proxy.stallsUntil) co_await sleep(proxy.stallsUntil - now());
        ++state.came;
        if (!admits(state)) co_return Outcome::Refused;
        Server* server = pick(proxy, index, nullptr);
        if (!server) co_return Outcome::Refused;
        Try result = co_await sendTo(proxy, index, *server, timeoutS);
        if (result == Try::NeverRan && state.again >= 1) {
            Server* other = pick(proxy, index, server);
            if (other) result = co_await sendTo(proxy, index, *other, timeoutS);
        }
        if (result == Try::Served) co_return Outcome::Served;
        ++proxy.classes[index].failed;
        co_return Outcome::Failed;
    }

    // ---- clients ------------------------------------------------------------------------------------------

    awaitable<void> clients(Proxy& proxy, std::size_t index) {
        double shares = 0;
        for (const ClassSpec& spec : deployment_.classes) shares += spec.share;
        const double rate = proxy.rate * deployment_.classes[index].share / shares;
        co_await sleep(uniform(0, 1 / rate));
        for (;;) {
            spawn(request(proxy, index));
            co_await sleep(uniform(0.7, 1.3) / rate);
        }
    }
    awaitable<void> request(Proxy& proxy, std::size_t index) {
        const ClassSpec& spec = deployment_.classes[index];
        const double until = now() + spec.deadlineS;
        ++asked;
        ++askedByZone[proxy.zone];
        double backoff = uniform(deployment_.backoffMinS, deployment_.backoffMaxS);
        std::string path;
        for (int tries = 0; tries <= deployment_.clientRetries; ++tries) {
            const Outcome outcome = co_await forward(proxy, index, std::min(until - now(), deployment_.tryShare * spec.deadlineS));
            path += outcome == Outcome::Served ? "s" : outcome == Outcome::Refused ? "r" : "f";
            if (outcome == Outcome::Served) {
                ++served;
                ++servedByZone[proxy.zone];
                break;
            }
            if (spec.effect == "fragile" && outcome != Outcome::Refused) break;
            if (now() + backoff >= until) break;
            co_await sleep(backoff);
            backoff *= 2;
        }
        if (path.back() != 's') ++gaveUp;
        note("request proxy=" + std::to_string(proxy.number) + " class=" + spec.name + " " + path);
    }

    // ---- reports ------------------------------------------------------------------------------------------

    awaitable<void> collector(std::string zone) {
        for (;;) {
            tcp::socket socket(io_);
            error_code error;
            co_await socket.async_connect(listen_, asio::redirect_error(use_awaitable, error));
            if (!error) asio::write(socket, asio::buffer("agent zone=" + zone + "\r\n"), error);
            while (!error) {
                co_await sleep(deployment_.periodS);
                const auto sums = std::exchange(sums_[zone], {});
                co_await sleep(0); // the sums are late: they are written by a timer of their own
                std::ostringstream text;
                text.precision(6);
                for (const auto& [id, one] : sums) {
                    const unsigned good = one.tries - one.failed;
                    const Server& server = *servers_.at(id);
                    text << "outcomes zone=" << zone << " server=" << id << " tries=" << one.tries << " failed=" << one.failed
                         << " mean_ms=" << (good > 0 ? one.latency / good * 1e3 : 0.0) << " span_ms=" << deployment_.periodS * 1e3;
                    if (good > 0) text << " load=util:" << utilization(server) << ",queue:" << queueOf(server);
                    text << "\r\n";
                }
                queuedReports_[zone].emplace_back(now() + deployment_.reportsLateS, text.str());
                auto& queue = queuedReports_[zone];
                while (!queue.empty() && queue.front().first <= now() + 0.5) {
                    co_await sleep(queue.front().first - now());
                    asio::write(socket, asio::buffer(queue.front().second), error);
                    queue.pop_front();
                }
            }
            co_await sleep(0.3);
        }
    }
    awaitable<void> reportUsage(Proxy& proxy) {
        for (;;) {
            co_await sleep(deployment_.periodS);
            std::ostringstream text;
            for (std::size_t index = 0; index < deployment_.classes.size(); ++index) {
                ClassState& state = proxy.classes[index];
                const unsigned came = std::exchange(state.came, 0), failed = std::exchange(state.failed, 0);
                if (came == 0) continue;
                text << "demand proxy=" << proxy.number << " class=" << deployment_.classes[index].name << " tries=" << came
                     << " failed=" << failed << " span_ms=" << deployment_.periodS * 1e3 << "\r\n";
            }
            spawn(writeLater(proxy, proxy.stream, text.str()));
        }
    }
    awaitable<void> writeLater(Proxy& proxy, std::uint64_t stream, std::string text) {
        co_await sleep(deployment_.reportsLateS);
        while (now() < proxy.stallsUntil) co_await sleep(proxy.stallsUntil - now());
        if (!proxy.isJoined || proxy.stream != stream || text.empty()) co_return;
        error_code ignored;
        asio::write(*proxy.socket, asio::buffer(text), ignored);
    }

    // ---- rules --------------------------------------------------------------------------------------------

    static constexpr double kSlackS = 0.3; // PROTOCOL "The rules on sockets"

    void checkDrain(const Proxy& proxy, const Server& server) {
        const auto told = told_.find(server.id);
        if (told == told_.end() || told->second.phase == "Ready") return;
        // "If the planner [...] does not take it, [...] for that proxy, time limits run on"
        const bool isNotTaken = !proxy.isJoined && proxy.notTakenSince >= 0;
        if (!proxy.isJoined && !isNotTaken) return;
        const double begin = isNotTaken ? proxy.notTakenSince : proxy.joinedAt;
        const double since = std::max({told->second.at, begin, firstAnswerAt_ + 1});
        if (now() - since <= worstSlowness * deployment_.drainGraceS + kSlackS) return;
        violation("safe drain", "proxy " + std::to_string(proxy.number) + " sends to " + server.id + " " +
                                    std::to_string(now() - since) + " s after " + told->second.phase + " was told");
    }
    bool isWarmServerListed(const Proxy& proxy, const ClassSpec& spec) const {
        return std::ranges::any_of(told_, [&](const auto& item) {
            const auto& [id, told] = item;
            if (told.phase != "Ready" || now() - told.startedAt < deployment_.coldS) return false;
            return !spec.zoneBound || servers_.at(id)->zone == proxy.zone;
        });
    }
    awaitable<void> checkRules() {
        for (;;) {
            co_await sleep(0.05);
            for (auto& proxy : proxies_)
                for (std::size_t index = 0; index < deployment_.classes.size(); ++index) checkBare(*proxy, index);
        }
    }
    void checkBare(Proxy& proxy, std::size_t index) {
        ClassState& state = proxy.classes[index];
        const ClassSpec& spec = deployment_.classes[index];
        const bool hasLine = std::ranges::any_of(
            state.lines, [&](const auto& line) { return line.second.weight > 0 && !proxy.dropped.contains(line.first); });
        const bool counts = proxy.isJoined && now() > firstAnswerAt_ + 1 && !hasLine && isWarmServerListed(proxy, spec);
        if (!counts) {
            state.bareSince = -1;
            return;
        }
        if (state.bareSince < 0) state.bareSince = now();
        const double bare = now() - state.bareSince;
        state.longestBare = std::max(state.longestBare, bare);
        if (bare <= worstSlowness * deployment_.blackholeS + kSlackS) return;
        if (!reportedBare_.insert({proxy.number, index}).second) return;
        violation("nobody left without a server", "proxy " + std::to_string(proxy.number) + " of zone " + proxy.zone +
                                                      " has had no line for " + spec.name + " for " + std::to_string(bare) + " s");
    }

    const Deployment deployment_;
    const std::string root_;
    std::string runCommand_, directory_;
    std::ofstream record_;
    std::mt19937 random_;
    asio::io_context io_{1};
    const asio::ip::address address_;
    const std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
    const double unixMillisAtBegin_ =
        std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
    tcp::acceptor discoveryAcceptor_;
    tcp::endpoint listen_;
    std::unique_ptr<tcp::acceptor> reservedPort_;
    pid_t planner_ = -1;
    double firstAnswerAt_ = kLong;
    std::map<std::string, std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::map<std::string, ListEntry> list_;
    std::uint64_t revision_ = 40;
    std::set<asio::steady_timer*> watchers_;
    std::map<std::string, Told> told_;
    std::map<std::string, std::map<std::string, ZoneSums>> sums_;
    std::map<std::string, std::deque<std::pair<double, std::string>>> queuedReports_;
    std::set<std::pair<int, std::size_t>> reportedBare_;
    double channelFreeAt_ = 0;
};

/// Prints what came of the day and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case
/// could not run. Other rules that broke are printed, and do not count.
inline int verdict(World& world, bool couldRun, const std::string& rule) {
    std::ostringstream text;
    text << "asked " << world.asked << ", served " << world.served << ", given up " << world.gaveUp << ", most lines waiting "
         << world.maxWaitingLines;
    for (const auto& [zone, asked] : world.askedByZone)
        text << "; zone " << zone << ": asked " << asked << ", served " << world.servedByZone[zone];
    world.note(text.str());
    std::cout << text.str() << std::endl;
    for (const auto& [name, count] : world.violations) {
        world.note("rule '" + name + "' broken " + std::to_string(count) + " times");
        std::cout << "rule '" << name << "' broken " << count << " times" << std::endl;
    }
    world.noteServers();
    world.copyPlannerLog();
    if (!couldRun) return 2;
    return world.violations.contains(rule) ? 1 : 0;
}

} // namespace review
