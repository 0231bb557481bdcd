#include "load/compression.h"

#include <zstd.h>

#include <memory>

namespace zincstack::load {

namespace {

constexpr std::string_view kFrameMagic = "\x28\xb5\x2f\xfd";
constexpr int kCompressionLevel = 3; // the default of zstd

using Decompressor = std::unique_ptr<ZSTD_DStream, decltype(&ZSTD_freeDStream)>;

} // namespace

bool isCompressed(std::string_view text) { return text.starts_with(kFrameMagic); }

std::string compress(std::string_view text) {
    std::string out(ZSTD_compressBound(text.size()), '\0');
    out.resize(ZSTD_compress(out.data(), out.size(), text.data(), text.size(), kCompressionLevel));
    return out;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes) {
    const Decompressor stream(ZSTD_createDStream(), ZSTD_freeDStream);
    std::string out;
    std::string chunk(ZSTD_DStreamOutSize(), '\0');
    ZSTD_inBuffer input{compressed.data(), compressed.size(), 0};
    std::size_t nextInputHint = 1; // zero at the end of a frame
    while (input.pos < input.size || nextInputHint != 0) {
        ZSTD_outBuffer output{chunk.data(), chunk.size(), 0};
        nextInputHint = ZSTD_decompressStream(stream.get(), &output, &input);
        if (ZSTD_isError(nextInputHint) || out.size() + output.pos > maxBytes) return {};
        const bool isTruncated = input.pos == input.size && output.pos == 0 && nextInputHint != 0;
        if (isTruncated) return {};
        out.append(chunk, 0, output.pos);
    }
    return out;
}

} // namespace zincstack::load
