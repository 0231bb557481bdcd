// Hosts many planners on the simulator's wire: one batch in, one reply out. Translates and nothing else.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "simwire/codec.h"

namespace zincstack::simwire {

class Host {
public:
    using Notice = std::function<void(std::string_view)>;
    explicit Host(Notice notice);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    /// Plays one batch; the reply stays valid until the next call. Throws InputError.
    std::span<const std::byte> play(const BatchHeader& header, std::span<const std::byte> body);

private:
    struct Hosted;
    void event(std::uint8_t code, std::span<const std::byte> fields, std::size_t offset);
    Hosted& hosted(std::uint32_t who, const FieldReader& in);
    template <class Call>
    void guarded(std::uint32_t who, Hosted& at, const Call& call);
    void open(FieldReader& in, std::uint32_t who);
    void pool(FieldReader& in);
    LoadReport report(FieldReader& in, const Hosted& at) const;

    Notice notice_;
    Micros clock_{};
    ReplyWriter reply_;
    std::map<std::uint32_t, std::unique_ptr<Hosted>> hosted_;
    std::vector<std::uint32_t> touched_;
    std::array<std::vector<EndpointUpdate>, 16> pools_;
    std::array<bool, 256> noticed_{};
};

} // namespace zincstack::simwire
