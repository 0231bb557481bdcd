// Feeds every file of a folder to the fuzzer's function, and every cut of the small ones.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int count, char** words) {
    constexpr std::size_t kCutMost = 4096;
    int files = 0;
    for (int k = 1; k < count; ++k)
        for (const auto& entry : std::filesystem::directory_iterator(words[k])) {
            std::ifstream file(entry.path(), std::ios::binary);
            const std::string bytes{std::istreambuf_iterator<char>(file), {}};
            const auto* const data = reinterpret_cast<const std::uint8_t*>(bytes.data());
            LLVMFuzzerTestOneInput(data, bytes.size());
            for (std::size_t size = 0; size < bytes.size() && bytes.size() <= kCutMost; ++size)
                LLVMFuzzerTestOneInput(data, size);
            ++files;
        }
    std::printf("%d inputs\n", files);
    return files > 0 ? 0 : 1;
}
