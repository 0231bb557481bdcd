// Tests of the simulator's host: replies to batches, and error messages about malformed batches.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <limits>

#include "simwire/host.h"
#include "start_text.h"
#include "wire_bytes.h"

namespace zincstack::simwire {
namespace {

using namespace std::chrono_literals;
using tests::Bytes;
using tests::kStartText;

template <class T>
T valueAt(std::span<const std::byte> from, std::size_t offset) {
    T out{};
    std::memcpy(&out, from.subspan(offset, sizeof out).data(), sizeof out);
    return out;
}

std::string errorOf(const auto& call) {
    try {
        call();
    } catch (const InputError& error) { return error.what(); }
    return "";
}

constexpr std::uint16_t kZero16 = 0;
constexpr std::uint8_t kZero8 = 0;

struct SimwireHost : testing::Test {
    std::vector<std::string> notices;
    Host host{[this](std::string_view line) { notices.emplace_back(line); }};

    std::vector<std::byte> play(std::uint32_t records, const Bytes& body) {
        const BatchHeader header{records, static_cast<std::uint32_t>(body.bytes.size()), Micros(5s)};
        const auto reply = host.processBatch(header, body.bytes);
        return {reply.begin(), reply.end()};
    }
    std::string errorAfter(std::uint32_t records, const Bytes& body) {
        return errorOf([&] { play(records, body); });
    }
    static Bytes opening(std::uint32_t instance) {
        return {instance, std::uint64_t{3}, static_cast<std::uint32_t>(kStartText.size()), kStartText};
    }
    /// An endpoint list with number 0 and `count` ready endpoints.
    static Bytes endpointList(std::uint32_t count, float weight = 1) {
        Bytes out(kZero16, count);
        for (std::uint32_t number = 0; number < count; ++number)
            out.put(Bytes(0x0a000001U + number, std::uint16_t{80}, std::uint8_t{1}, 0.0, weight, kZero16,
                          kZero16, kZero8));
        return out;
    }
    static Bytes endpointUpdate(std::uint32_t instance) {
        return {instance, kZero8, std::uint64_t{1}, kZero16};
    }
    static Bytes joined(std::uint32_t instance) {
        return {instance, std::uint16_t{2}, std::uint8_t{1}, 9.0F, std::uint8_t{1}};
    }
    /// Codes of the actions of a reply, in order.
    static std::vector<int> codes(std::span<const std::byte> reply) {
        EXPECT_EQ(valueAt<std::uint32_t>(reply, 0), reply.size() - 4);
        std::vector<int> out;
        for (std::size_t offset = 4; offset < reply.size();
             offset += 5 + valueAt<std::uint32_t>(reply, offset + 1))
            out.push_back(valueAt<std::uint8_t>(reply, offset));
        return out;
    }
};

// An unknown event code must be skipped, with a notice only the first time, so that a newer simulator neither
// stops the host nor floods its log.
TEST_F(SimwireHost, RepliesToEmptyBatchAndWarnsOncePerUnknownEventCode) {
    EXPECT_TRUE(codes(play(0, {})).empty());
    play(2, Bytes().record(77, {1.0}).record(77, {2.0}));
    EXPECT_EQ(notices.size(), 1U);
}

TEST_F(SimwireHost, AssignsTableWithWeightsToJoinedProxy) {
    Bytes body;
    body.record(7, opening(3)).record(10, endpointList(2)).record(13, endpointUpdate(3)).record(8, joined(3));
    const auto reply = play(4, body);
    const auto seen = codes(reply);
    // One weight per endpoint: only the table of the proxy's zone is built.
    EXPECT_EQ(std::ranges::count(seen, 8), 2);
    EXPECT_EQ(std::ranges::count(seen, 7), 1);
    EXPECT_EQ(seen.back(), 12);
    const std::size_t firstWeight = 4 + 5 + 20; // the record after SCHEDULE
    EXPECT_EQ(valueAt<std::uint32_t>(reply, firstWeight + 5), 3U);
    EXPECT_EQ(valueAt<std::uint32_t>(reply, firstWeight + 9), 0x0a000001U);
    EXPECT_EQ(valueAt<float>(reply, firstWeight + 17), 1.0F);
}

/// Appends four records that open an instance, list `endpoints` endpoints and join one proxy.
Bytes& openWithProxy(Bytes& body, std::uint32_t instance, std::uint32_t endpoints) {
    return body.record(7, SimwireHost::opening(instance))
        .record(10, SimwireHost::endpointList(endpoints))
        .record(13, SimwireHost::endpointUpdate(instance))
        .record(8, SimwireHost::joined(instance));
}

// A list number may be reused within a batch, so an update has to apply the list as it is at that point. An
// instance that is reopened after HALT must not keep the endpoints of its predecessor.
TEST_F(SimwireHost, AppliesCurrentListOfReusedNumberAndDropsStateOfClosedInstance) {
    Bytes first;
    Bytes second;
    EXPECT_EQ(std::ranges::count(codes(play(8, openWithProxy(openWithProxy(first, 1, 3), 2, 1))), 8), 4);
    EXPECT_EQ(std::ranges::count(codes(play(5, openWithProxy(second.record(9, {1U}), 1, 1))), 8), 1);
}

// Truncated records, wrong lengths and counts, and values out of range must be rejected before a planner sees
// them, with an error that locates the fault in the batch.
TEST_F(SimwireHost, ErrorsNameRecordFieldAndOffset) {
    play(1, Bytes().record(7, opening(3)));
    EXPECT_EQ(errorAfter(1, Bytes().record(4, {3U})), "LEFT.Proxy at offset 25: needs 2 bytes, 0 left");
    const double nan = std::numeric_limits<double>::quiet_NaN();
    struct Case {
        std::uint32_t records;
        Bytes body;
        std::string error;
    };
    const std::vector<Case> cases = {
        {1, Bytes(std::uint8_t{4}, 900U), "record 0.fields"},
        {2, Bytes().record(9, {3U}), "record 1.code"},
        {0, Bytes(1.0), "batch.length"},
        {1, Bytes().record(10, {kZero16, 0xffffffffU}), "POOL.NodesList"},
        {1, Bytes().record(10, endpointList(1, -1)), "weight is negative"},
        {1, Bytes().record(4, {8U, kZero16}), "instance 8 is not open"},
        {2, Bytes().record(7, opening(3)).record(1, {3U, 1U, kZero16, kZero16, nan, 0U}), "INTAKE.ElapsedS"}};
    for (const auto& [records, body, error] : cases)
        EXPECT_NE(errorAfter(records, body).find(error), std::string::npos) << error;
}

} // namespace
} // namespace zincstack::simwire
