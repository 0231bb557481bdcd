#include "json/json.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace zincstack::net {

namespace {

constexpr int kDepthMost = 32;

class Reader {
public:
    explicit Reader(std::string_view text) : text_(text) {}

    Json document() {
        Json out = value(0);
        space();
        if (at_ != text_.size()) fail("text after the end");
        return out;
    }

private:
    [[noreturn]] void fail(std::string_view what) const {
        throw Malformed("JSON at offset " + std::to_string(at_) + ": " + std::string(what));
    }
    void space() { at_ = std::min(text_.find_first_not_of(" \t\r\n", at_), text_.size()); }
    char peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
    bool accept(char wanted) {
        space();
        if (peek() != wanted) return false;
        ++at_;
        return true;
    }
    void expect(char wanted) {
        if (!accept(wanted)) fail(std::string("no '") + wanted + "' where one is due");
    }
    bool word(std::string_view wanted) {
        if (text_.substr(at_, wanted.size()) != wanted) return false;
        at_ += wanted.size();
        return true;
    }

    Json value(int depth) {
        if (depth > kDepthMost) fail("too deep");
        space();
        switch (peek()) {
        case '{': return object(depth);
        case '[': return list(depth);
        case '"': return {Json::Kind::Text, string(), {}, {}};
        default: break;
        }
        if (word("null")) return {};
        for (const std::string_view truth : {"true", "false"})
            if (word(truth)) return {Json::Kind::Truth, std::string(truth), {}, {}};
        return number();
    }
    Json object(int depth) {
        Json out{Json::Kind::Object, {}, {}, {}};
        expect('{');
        if (accept('}')) return out;
        do {
            space();
            out.names.push_back(string());
            expect(':');
            out.items.push_back(value(depth + 1));
        } while (accept(','));
        expect('}');
        return out;
    }
    Json list(int depth) {
        Json out{Json::Kind::List, {}, {}, {}};
        expect('[');
        if (accept(']')) return out;
        do out.items.push_back(value(depth + 1));
        while (accept(','));
        expect(']');
        return out;
    }
    Json number() {
        double read = 0;
        const auto [end, error] = std::from_chars(text_.data() + at_, text_.data() + text_.size(), read);
        if (error != std::errc{}) fail("no value");
        Json out{Json::Kind::Number, {text_.data() + at_, end}, {}, {}};
        at_ += out.text.size();
        return out;
    }
    std::string string() {
        if (peek() != '"') fail("no text where one is due");
        ++at_;
        std::string out;
        for (;;) {
            if (at_ >= text_.size()) fail("a text without an end");
            const char one = text_[at_++];
            if (one == '"') return out;
            if (static_cast<unsigned char>(one) < 0x20) fail("a control character in a text");
            if (one == '\\')
                escape(out);
            else
                out += one;
        }
    }
    void escape(std::string& out) {
        static constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
        const char one = peek();
        ++at_;
        if (const auto place = kFrom.find(one); one && place != std::string_view::npos) {
            out += kTo[place];
            return;
        }
        if (one != 'u') fail("an escape that is not known");
        std::uint32_t code = hex();
        if (code >= 0xd800 && code < 0xdc00 && word("\\u"))
            code = 0x10000 + ((code - 0xd800) << 10) + hex() - 0xdc00;
        utf8(out, code);
    }
    std::uint32_t hex() {
        std::uint32_t code = 0;
        const auto digits = text_.substr(at_, 4);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
        if (error != std::errc{} || end != digits.data() + 4) fail("no four hex digits");
        at_ += 4;
        return code;
    }
    static void utf8(std::string& out, std::uint32_t code) {
        const auto tail = [&](int shift) { out += static_cast<char>(0x80 | ((code >> shift) & 0x3f)); };
        if (code < 0x80) {
            out += static_cast<char>(code);
        } else if (code < 0x800) {
            out += static_cast<char>(0xc0 | code >> 6), tail(0);
        } else if (code < 0x10000) {
            out += static_cast<char>(0xe0 | code >> 12), tail(6), tail(0);
        } else {
            out += static_cast<char>(0xf0 | (code >> 18 & 7)), tail(12), tail(6), tail(0);
        }
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

} // namespace

const Json* Json::find(std::string_view name) const {
    const auto at = std::ranges::find(names, name);
    return at == names.end() ? nullptr : &items[static_cast<std::size_t>(at - names.begin())];
}

const std::string* Json::textOf(std::string_view name, Kind wanted) const {
    const Json* member = find(name);
    return member && member->kind == wanted ? &member->text : nullptr;
}

Json readJson(std::string_view text) { return Reader(text).document(); }

} // namespace zincstack::net
