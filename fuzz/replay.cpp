// Replays a corpus without libFuzzer: passes each file of the given folders, and each prefix of the small
// files, to the fuzzer's entry point. Fails if the folders contain no file.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): the name is required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

/// Larger files are replayed without their prefixes, since the time for all prefixes grows with the square of
/// the size.
constexpr std::size_t kMaxBytesForPrefixes = 4096;

std::string readFile(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

void replay(const std::string& bytes) {
    const auto* const data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    LLVMFuzzerTestOneInput(data, bytes.size());
    if (bytes.size() > kMaxBytesForPrefixes) return;
    for (std::size_t size = 0; size < bytes.size(); ++size) LLVMFuzzerTestOneInput(data, size);
}

} // namespace

int main(int count, char** arguments) {
    int replayed = 0;
    for (int k = 1; k < count; ++k)
        for (const auto& entry : std::filesystem::directory_iterator(arguments[k])) {
            replay(readFile(entry.path()));
            ++replayed;
        }
    std::printf("replayed %d files\n", replayed);
    return replayed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
