// The program zincstack_digests: plays recorded days (digest_days.h), and compares them with the stored
// checksums, rewrites the checksums or prints a day's events.
#include <charconv>
#include <chrono>
#include <exception>
#include <iostream>
#include <span>

#include "digest_reference.h"
#include "log/log.h"

namespace zincstack::tests {
namespace {

constexpr int kExitSame = 0;
constexpr int kExitDifferent = 1;
constexpr int kExitUsageError = 2;

constexpr std::string_view kUsage =
    "zincstack_digests check            compare all days with the checksums in tests/digests\n"
    "zincstack_digests write            replace the checksums in tests/digests\n"
    "zincstack_digests print KIND SEED  print the numbered events of one day\n";

double secondsSince(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// Plays all days of a kind and calls `handleDay` with each. Prints the numbers of days and events, the time
/// taken, and the coverage.
void playAll(const DayKind& kind, const auto& handleDay) {
    const auto start = std::chrono::steady_clock::now();
    std::size_t events = 0;
    std::map<std::string, std::size_t> coverage;
    for (std::uint64_t seed = 1; seed <= kind.seeds; ++seed) {
        const RecordedDay day = kind.play(seed);
        events += day.events.size();
        for (const auto& [what, count] : day.coverage) coverage[what] += count;
        handleDay(seed, day);
    }
    std::cout << kind.name << ": " << kind.seeds << " days, " << events << " events, " << secondsSince(start)
              << " s\n";
    for (const auto& [what, count] : coverage) std::cout << "  " << what << ": " << count << '\n';
}

int check() {
    int result = kExitSame;
    for (const DayKind& kind : dayKinds()) {
        const DigestReference reference(kind);
        std::size_t differing = 0;
        playAll(kind, [&](std::uint64_t seed, const RecordedDay& day) {
            const auto difference = reference.difference(seed, day);
            if (!difference) return;
            ++differing;
            std::cout << "DIFFERENT " << *difference << '\n';
        });
        std::cout << kind.name << ": " << differing << " of " << kind.seeds << " days differ\n";
        if (differing > 0) result = kExitDifferent;
    }
    return result;
}

int write() {
    for (const DayKind& kind : dayKinds()) {
        std::map<std::uint64_t, DayDigest> digests;
        playAll(kind, [&](std::uint64_t seed, const RecordedDay& day) { digests[seed] = digestOf(day); });
        writeDigestReference(kind, digests);
    }
    return kExitSame;
}

int print(std::string_view kindName, std::string_view seedText) {
    const DayKind* kind = findDayKind(kindName);
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(seedText.data(), seedText.data() + seedText.size(), seed);
    if (!kind || error != std::errc{} || end != seedText.data() + seedText.size()) {
        std::cerr << kUsage;
        return kExitUsageError;
    }
    std::size_t number = 0;
    for (const std::string& event : kind->play(seed).events) std::cout << number++ << ' ' << event << '\n';
    return kExitSame;
}

int run(std::span<const std::string_view> arguments) {
    if (arguments.size() == 1 && arguments[0] == "check") return check();
    if (arguments.size() == 1 && arguments[0] == "write") return write();
    if (arguments.size() == 3 && arguments[0] == "print") return print(arguments[1], arguments[2]);
    std::cerr << kUsage;
    return kExitUsageError;
}

} // namespace
} // namespace zincstack::tests

int main(int count, char** values) {
    const std::vector<std::string_view> arguments(values + 1, values + count);
    zincstack::log::start(zincstack::log::Format::Text, zincstack::log::Level::Critical);
    try {
        return zincstack::tests::run(arguments);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return zincstack::tests::kExitUsageError;
    }
}
