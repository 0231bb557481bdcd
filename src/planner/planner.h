// The planner's interface: what callers tell it, what it orders, and nothing about how it decides.
//
// A caller (the simulator's adapter, or the engine on sockets) makes one planner an instance, hands it inputs
// with the clock, and closes each batch with decide(). Orders go to the OrderSink given at the start,
// only from inside decide(). All names that belong to a wire stay with the caller.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace zincstack {

using Micros = std::chrono::microseconds;

/// A type for each kind of id, so that a proxy's number can't stand where a table's is meant.
template <class Tag, class Rep>
struct Id {
    Rep value{};
    friend constexpr auto operator<=>(const Id&, const Id&) = default;
};
using ServerId = Id<struct ServerTag, std::uint64_t>;
using ProxyId = Id<struct ProxyTag, std::uint16_t>;
using TableId = Id<struct TableTag, std::uint16_t>;
using ZoneId = Id<struct ZoneTag, std::uint8_t>;
using PodId = Id<struct PodTag, std::uint16_t>;
using ProductId = Id<struct ProductTag, std::uint16_t>;
using MarkId = Id<struct MarkTag, std::uint16_t>;
/// Bit k stands for the product at place k.
using ProductSet = std::uint16_t;

// ---- what is read at start -------------------------------------------------------------------------------

enum class Repeatable : std::uint8_t { InquiryLike, Referenced, OnceOnly };
struct ProductTerms {
    Micros slaTime{};
    Micros expiry{};
    double revenue = 0;
    double lateRevenue = 0;
    Repeatable repeatable = Repeatable::OnceOnly;
    bool ownZoneOnly = false;
    bool writes = true;
};
struct ChannelTerms {
    double linesPerSecond = 0;
    double headLines = 0;
    double queueMost = 0;
    std::uint32_t messagesMost = 0; ///< to one proxy within messagesOver; 0: no such limit
    Micros messagesOver{};
    Micros meanTransit{};
    Micros worstTransit{};
};
struct GuardTerms {
    Micros bareMost{};
    Micros drainGrace{};
    double coldShare = 0;
    Micros coldSpan{};
    double fallMultiple = 0;
    Micros fallSpan{};
    bool goneBinds = true; ///< false: only a server seen as draining must leave the tables
};
enum class Throttle : std::uint8_t { None, Share, Rate };
struct ForwarderTerms {
    std::uint32_t count = 0;
    std::uint32_t standingLines = 0;
    Throttle throttle = Throttle::None;
};
struct FleetTerms {
    std::uint8_t zones = 1;
    std::uint32_t planners = 1;
    bool weightsListed = false;
    bool listMustBeAsked = false;
    bool mayProbe = false;
    Micros sumsPeriod{};
    bool sliced = false; ///< tables belong to slices of keys: not served, every input is let pass
};

// ---- inputs ----------------------------------------------------------------------------------------------

enum class ListedState : std::uint8_t { Gone, Ready, Draining };
struct ListedServer {
    ServerId id;
    ListedState state = ListedState::Gone;
    Micros startedAt{}; ///< zero: long ago
    double weight = 1;
    PodId pod;
    ZoneId zone;
};
enum class ListNews : std::uint8_t { Cached, Changes, Whole, Failed };

struct LoadReport {
    std::optional<double> busyShare;
    std::optional<double> waiting;
    std::optional<double> held;
    std::optional<double> serviceMillis;
};
struct ServerSums {
    ServerId server;
    ZoneId proxiesZone;
    std::uint32_t tries = 0;
    std::uint32_t unanswered = 0;
    Micros meanDelay{}; ///< of the good ones; zero: there were none
    Micros span{};
    LoadReport report;
};
struct UsageSums {
    ProxyId proxy;
    ProductId product;
    std::uint32_t txns = 0;
    std::uint32_t voided = 0; ///< let in, yet without an answer
    Micros span{};
};
enum class ProbeStatus : std::uint8_t { Answered, Error, Rejected, TimedOut, Unreachable, Broken };
struct ProbeResult {
    ServerId server;
    ProbeStatus status = ProbeStatus::TimedOut;
    Micros delay{};
    LoadReport report;
};

// ---- orders ----------------------------------------------------------------------------------------------

enum class FurtherTries : std::uint8_t { None, AfterProof, OneAfterFailure, TwoAfterFailure };

class OrderSink {
public:
    virtual ~OrderSink() = default;
    virtual void setLine(TableId table, ServerId server, double weight) = 0;
    virtual void bind(ProxyId proxy, ProductSet products, TableId table) = 0;
    virtual void withdraw(ServerId server, bool out) = 0;
    /// No table: for every joined proxy. The level is a share or a rate, as ForwarderTerms::throttle says.
    virtual void admit(std::optional<TableId> table, ProductSet products, double level, FurtherTries) = 0;
    virtual void mark(MarkId number, bool everyProxy) = 0;
    virtual void probe(ServerId server) = 0;
    virtual void followList() = 0;
    virtual void wakeAfter(Micros span) = 0;
    virtual void log(std::string_view line) = 0;
    /// The planner would know nothing more of a server that has ended. False: withdrawals can't be taken back
    /// for a server that is named anew, so it has to remember.
    virtual bool forget(ServerId) { return false; }
    /// Lets back at a bound proxy those of its tables' servers, `most` at the most, that an earlier stream may have
    /// shut out there: a line each. False: there is none.
    virtual bool letBack(ProxyId, std::size_t /*most*/) { return false; }
    /// Lines that may still wait in the channel, and those that wait for room in it, as encoded. None: the
    /// caller can't tell, and they have to be reckoned. Whoever can tell keeps the limit of the queue by itself:
    /// orders that do not fit wait and merge.
    virtual std::optional<double> pendingLines() const { return {}; }
    /// Orders are held back that have no mark to go with.
    virtual bool needsMark() const { return false; }
    /// The proxy can be bound to another table of the same products later.
    virtual bool rebinds(ProxyId) const { return false; }
};

class Planner {
public:
    virtual ~Planner() = default;
    /// Opens a batch, or moves the clock of the open one on; it only moves forward.
    virtual void begin(Micros now) = 0;
    virtual void list(ListNews news, std::span<const ListedServer> entries) = 0;
    /// `onlyStanding`: it holds nothing but the short table that it started with.
    virtual void joined(ProxyId proxy, ZoneId zone, double usualRate, bool onlyStanding) = 0;
    virtual void left(ProxyId proxy) = 0;
    virtual void sums(const ServerSums& line) = 0;
    virtual void usage(const UsageSums& line) = 0;
    virtual void applied(ProxyId proxy, MarkId number) = 0;
    virtual void probed(const ProbeResult& result) = 0;
    virtual void woken() = 0;
    /// Closes the batch: what follows from it is ordered now.
    virtual void decide() = 0;
};

/// Each part of the start terms goes its own way; `sink` must outlive the planner.
std::unique_ptr<Planner> makePlanner(std::uint64_t seed, const FleetTerms& fleet,
                                     const ForwarderTerms& forwarders, const ChannelTerms& channel,
                                     const GuardTerms& guards, std::span<const ProductTerms> products,
                                     OrderSink& sink);

} // namespace zincstack
