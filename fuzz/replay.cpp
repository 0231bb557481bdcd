// Replays a corpus without libFuzzer: feeds every file of the given folders to the fuzzer's function, and every prefix
// of the small ones.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

/// Prefixes of larger files would take a time that grows with the square of their size.
constexpr std::size_t kMaxPrefixedBytes = 4096;

std::string readFile(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

void replay(const std::string& bytes) {
    const auto* const data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    LLVMFuzzerTestOneInput(data, bytes.size());
    if (bytes.size() > kMaxPrefixedBytes) return;
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
    std::printf("%d inputs\n", replayed);
    return replayed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
