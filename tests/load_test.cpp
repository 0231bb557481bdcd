// The load generator's parts without I/O: histogram, recorder, shapes and arrivals.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

#include "load/arrivals.h"
#include "load/recorder.h"
#include "load/trace.h"

namespace zincstack::load {
namespace {

using namespace std::chrono_literals;

std::vector<std::int64_t> someValues() {
    auto out = *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 40));
    for (auto& one : out) one = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << one);
    return out;
}

RC_GTEST_PROP(Histogram, EveryRankIsToldWithinTheStatedError, ()) {
    auto values = someValues();
    Histogram histogram;
    for (const auto one : values) histogram.add(Micros(one));
    std::ranges::sort(values);
    RC_ASSERT(histogram.count() == values.size());
    for (std::size_t k = 0; k < values.size(); ++k) {
        const auto told = static_cast<double>(histogram.atRank(k + 1).count()),
                   is = static_cast<double>(values[k]);
        RC_ASSERT(std::abs(told - is) <= Histogram::kErrorMost * is + 1e-9);
    }
    if (!values.empty()) {
        RC_ASSERT(histogram.least().count() == values.front());
        RC_ASSERT(histogram.percentile(100).count() == values.back());
    }
    RC_ASSERT(histogram.bytes() < 64U * 1024);
}

RC_GTEST_PROP(Histogram, MergingIsFreeOfOrderAndAsIfAllHadComeToOne, ()) {
    Histogram parts[3], all, forth, back;
    for (auto& part : parts)
        for (const auto one : someValues()) part.add(Micros(one)), all.add(Micros(one));
    for (int k = 0; k < 3; ++k) forth.merge(parts[k]), back.merge(parts[2 - k]);
    RC_ASSERT(forth.buckets() == all.buckets());
    RC_ASSERT(back.buckets() == all.buckets());
    RC_ASSERT(forth.least() == all.least() && back.greatest() == all.greatest());
}

TEST(Histogram, WhatIsOutOfItsRangeCountsAtItsEnds) {
    Histogram histogram;
    EXPECT_EQ(histogram.percentile(50), 0us);
    histogram.add(-5us);
    histogram.add(Micros::max(), 3);
    EXPECT_EQ(histogram.least(), 0us);
    EXPECT_EQ(histogram.greatest(), Histogram::kMost);
    EXPECT_EQ(histogram.count(), 4U);
}

/// A server that stands still for two seconds under 100 txns a second: those meant for the pause wait for its
/// end, so that a sixth of all is late by up to two seconds. A closed loop would have seen one slow txn.
TEST(Recorder, AKnownStallAppearsAtItsTrueSizeAndTheNaiveFigureMissesIt) {
    Recorder open, closed;
    const Micros stallFrom = 5s, stallTo = 7s, service = 10ms;
    const auto answerAt = [&](Micros sentAt) {
        return (sentAt >= stallFrom && sentAt < stallTo ? stallTo : sentAt) + service;
    };
    for (int k = 0; k < 1200; ++k) {
        const Micros meant = k * 10ms;
        open.sent(meant, meant);
        open.answered(meant, meant, answerAt(meant), true);
    }
    Micros free{}; // the closed loop sends the next one once it has the answer
    for (int k = 0; k < 1200; ++k) {
        const Micros meant = k * 10ms, sentAt = std::max(meant, free);
        free = answerAt(sentAt);
        closed.sent(meant, sentAt);
        closed.answered(meant, sentAt, free, true);
    }
    const auto near = [](Micros is, double wanted) {
        EXPECT_NEAR(static_cast<double>(is.count()), wanted, Histogram::kErrorMost * wanted + 10'000);
    };
    // By hand: 1,000 at 10 ms; 200 evenly from 20 to 2,010 ms, so p of all falls at (p - 83.33%) / 16.67% of it.
    near(*open.percentile(50), 10'000);
    near(*open.percentile(90), 10'000 + (0.9 - 1000.0 / 1200) * 1200 * 10'000);
    near(*open.percentile(99), 10'000 + (0.99 - 1000.0 / 1200) * 1200 * 10'000);
    near(*open.percentile(100), 2'010'000);
    near(closed.naive().percentile(99.9), 10'000);      // one in 1,200 was slow
    EXPECT_GT(closed.latency().percentile(99), 1500ms); // from the intended time it is all there
    EXPECT_FALSE(closed.sound(1ms, 0.001));             // and its schedule was not kept
    EXPECT_TRUE(open.sound(1ms, 0.001));
}

TEST(Recorder, WhatWasNeverAnsweredOrRefusedOrNeverSentIsInTheFigures) {
    Recorder recorder;
    for (int k = 0; k < 90; ++k) recorder.sent(0s, 0s), recorder.answered(0s, 0s, Micros(1ms), true);
    for (int k = 0; k < 4; ++k) recorder.sent(0s, 0s); // a server that never answers
    for (int k = 0; k < 4; ++k) recorder.sent(0s, 0s), recorder.answered(0s, 0s, Micros(1us), false);
    recorder.unsent(), recorder.unsent();
    EXPECT_EQ(recorder.meant(), 100U);
    EXPECT_EQ(recorder.open(), 6U);
    EXPECT_EQ(recorder.percentile(50), Micros(1ms));
    EXPECT_EQ(recorder.percentile(90), Micros(1ms));
    EXPECT_FALSE(recorder.percentile(91)); // never
    EXPECT_EQ(recorder.within(1ms), 90U);
    Recorder both;
    both.merge(recorder), both.merge(recorder);
    EXPECT_EQ(both.meant(), 200U);
    EXPECT_EQ(both.open(), 12U);
    EXPECT_FALSE(Recorder().percentile(50));
}

Shape anyShape() {
    const Micros span = std::chrono::seconds(*rc::gen::inRange(10, 60));
    const double rate = *rc::gen::inRange(1, 200);
    Shape out = Shape::constant(rate, span);
    switch (*rc::gen::inRange(0, 5)) {
    case 0: return out;
    case 1: return Shape::ramp(0, rate, span);
    case 2: return out + Shape::surge(span / 4, 5 * rate, 2s, 5s, span);
    case 3: return out + Shape::bursts(3 * rate, 500ms, 3s, span);
    default: return Shape::day({rate, 3 * rate, 0, 2 * rate}, span) + out;
    }
}

RC_GTEST_PROP(Shape, ItsSumIsTheIntegralOfItsRateAndWhenIsItsInverse, ()) {
    const Shape shape = anyShape();
    double sum = 0;
    constexpr auto kStep = 1ms;
    for (Micros at{}; at < shape.end(); at += kStep) sum += shape.at(at + kStep / 2) / 1000;
    RC_ASSERT(std::abs(sum - shape.all()) <= 0.005 * shape.all() + 1);
    for (int part = 1; part < 10; ++part) {
        const double many = shape.all() * part / 10;
        const auto when = shape.whenMicros(many);
        RC_ASSERT(when.has_value());
        RC_ASSERT(std::abs(shape.until(Micros(static_cast<std::int64_t>(*when))) - many) <= 1e-2);
    }
    RC_ASSERT(!shape.whenMicros(shape.all() * 1.01 + 1));
}

RC_GTEST_PROP(Arrivals, AsManyComeAsTheShapeTellsAndTheSeedAloneDecidesWhen, ()) {
    const Shape shape = anyShape();
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    for (const auto kind : {Arrivals::Kind::Even, Arrivals::Kind::Poisson}) {
        Arrivals one(shape, kind, seed), same(shape, kind, seed);
        std::vector<Micros> all;
        while (const auto at = one.next()) {
            RC_ASSERT((all.empty() || *at >= all.back()));
            RC_ASSERT(*at <= shape.end());
            RC_ASSERT(same.next() == at);
            all.push_back(*at);
        }
        const double spread = kind == Arrivals::Kind::Even ? 1.5 : 6 * std::sqrt(shape.all()) + 2;
        RC_ASSERT(std::abs(static_cast<double>(all.size()) - shape.all()) <= spread);
        // Also in its first half alone.
        const Micros half = shape.end() / 2;
        const auto early = std::ranges::count_if(all, [&](Micros at) { return at < half; });
        RC_ASSERT(std::abs(static_cast<double>(early) - shape.until(half)) <= spread);
    }
}

TEST(Arrivals, GapsOfPoissonArrivalsAreExponentialAndTheFirstOnesAreKnown) {
    Arrivals arrivals(Shape::constant(1000, 100s), Arrivals::Kind::Poisson, 7);
    Micros before{};
    double sum = 0, squares = 0;
    int many = 0, longer = 0;
    while (const auto at = arrivals.next()) {
        const double gap = static_cast<double>((*at - before).count()) / 1000; // of the mean
        sum += gap, squares += gap * gap, longer += gap > 1, ++many;
        before = *at;
    }
    EXPECT_NEAR(many, 100'000, 2000);
    EXPECT_NEAR(sum / many, 1, 0.02);
    EXPECT_NEAR(squares / many, 2, 0.08);
    EXPECT_NEAR(static_cast<double>(longer) / many, std::exp(-1), 0.01);
}

TEST(Shape, ASurgeRisesSteeplyAndHasALongTail) {
    const Shape surge = Shape::surge(10s, 600, 1s, 20s, 200s);
    EXPECT_EQ(surge.at(9s), 0);
    EXPECT_NEAR(surge.at(10500ms), 300, 1);
    EXPECT_EQ(surge.at(11s), 600);
    EXPECT_NEAR(surge.at(31s), 300, 10);
    EXPECT_NEAR(surge.at(71s), 150, 10);
    EXPECT_GT(surge.at(199s), 50);
    EXPECT_EQ(surge.at(201s), 0);
    const Shape both = surge + Shape::constant(10, 50s);
    EXPECT_EQ(both.at(5s), 10);
    EXPECT_EQ(both.at(11s), 610);
    EXPECT_NEAR(both.all(), surge.all() + 500, 1);
}

RC_GTEST_PROP(Trace, ComesBackAsItWasInEitherFormCompressedOrNot, ()) {
    const std::vector<std::string> products{"lookup", "hold", "confirm \"x\""};
    std::vector<Recorded> txns;
    Micros at{};
    for (int k = *rc::gen::inRange(1, 60); k > 0; --k) {
        at += Micros(*rc::gen::inRange(0, 3)); // equal times, too
        txns.push_back({at,
                        {static_cast<std::uint16_t>(*rc::gen::inRange(0, 3))},
                        *rc::gen::arbitrary<std::uint64_t>()});
    }
    for (const auto form : {TraceForm::Csv, TraceForm::JsonLines})
        for (const bool compressed : {false, true}) {
            const auto read = readTrace(writeTrace(txns, products, form, compressed), products);
            RC_ASSERT(read.faults.empty());
            RC_ASSERT(read.txns == txns);
        }
}

TEST(Trace, EachLineThatCantBeUsedIsToldByItsNumberAndTheRestIsRead) {
    const std::vector<std::string> products{"lookup"};
    const auto read =
        readTrace("at_us,product,caller\n5,lookup,1\r\n4,lookup,1\nx,lookup,1\n6,order,1\n7,lookup\n"
                  "8,lookup,-1\n99999999999999,lookup,1\n-1,lookup,1\n\n5,lookup,2\n9,lookup,1,2\n9,lookup,3",
                  products);
    EXPECT_EQ(read.txns, (std::vector<Recorded>{{5us, {0}, 1}, {5us, {0}, 2}, {9us, {0}, 3}}));
    std::vector<std::size_t> lines;
    for (const auto& one : read.faults) lines.push_back(one.line);
    EXPECT_EQ(lines, (std::vector<std::size_t>{3, 4, 5, 6, 7, 8, 9, 12}));
    EXPECT_NE(read.faults[0].what.find("earlier"), std::string::npos);
    EXPECT_NE(read.faults[2].what.find("'order'"), std::string::npos);
    const auto lined = readTrace(
        "{\"at_us\":1,\"product\":\"lookup\"}\n{\"at_us\":1.5,\"product\":\"lookup\"}\n{\"at_us\"\n{}\n",
        products);
    EXPECT_EQ(lined.txns.size(), 1U);
    EXPECT_EQ(lined.faults.size(), 3U);
    EXPECT_EQ(readTrace("", products).faults.size(), 1U);
    EXPECT_EQ(readTrace(std::string(100, '\n') + std::string(9000, 'x'), products, 1).faults.size(), 1U);
}

TEST(Trace, ACompressedOneThatIsCutOrSpoiltIsAFaultAndNothingIsHalfRead) {
    const std::vector<std::string> products{"lookup"};
    const auto whole = writeTrace({{1us, {0}, 1}, {2us, {0}, 2}}, products, TraceForm::Csv, true);
    for (std::size_t size = 4; size < whole.size(); ++size) {
        const auto read = readTrace(whole.substr(0, size), products);
        EXPECT_EQ(read.faults.size(), 1U) << size;
        EXPECT_TRUE(read.txns.empty()) << size;
    }
}

} // namespace
} // namespace zincstack::load
