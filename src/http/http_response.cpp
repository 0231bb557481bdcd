#include "http/http_response.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <utility>

namespace zincstack::net {

namespace {

constexpr std::size_t kHeadBytesMost = 64 * 1024;

bool sameWord(std::string_view one, std::string_view other) {
    return std::ranges::equal(
        one, other, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

bool wholeNumber(std::string_view text, std::size_t& into, int base) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into, base);
    return error == std::errc{} && end == text.data() + text.size();
}

} // namespace

const HttpResponse::Row HttpResponse::kRows[] = {
    {Stage::StatusLine, Input::Line, Stage::Headers, Effect::Status},
    {Stage::Headers, Input::Line, Stage::Headers, Effect::Header},
    {Stage::Headers, Input::Empty, Stage::Done, Effect::StartBody},
    {Stage::ChunkSize, Input::Line, Stage::Chunk, Effect::Size},
    {Stage::ChunkEnd, Input::Empty, Stage::ChunkSize, Effect::Nothing},
    {Stage::Trailers, Input::Line, Stage::Trailers, Effect::Nothing},
    {Stage::Trailers, Input::Empty, Stage::Done, Effect::Nothing},
};

std::size_t HttpResponse::feed(std::string_view bytes) {
    const std::size_t all = bytes.size();
    while (!bytes.empty() && !done() && !broken()) {
        if (stage_ == Stage::Sized) {
            data(bytes, Stage::Done);
        } else if (stage_ == Stage::Chunk) {
            data(bytes, Stage::ChunkEnd);
        } else if (stage_ == Stage::UntilClose) {
            left_ = bytes.size() + 1;
            data(bytes, stage_);
        } else {
            const auto end = bytes.find('\n');
            const std::size_t part = end == std::string_view::npos ? bytes.size() : end + 1;
            if ((headBytes_ += part) > kHeadBytesMost) {
                stage_ = Stage::Broken;
                break;
            }
            held_.append(bytes.substr(0, part));
            bytes.remove_prefix(part);
            if (end == std::string_view::npos) break;
            std::string text = std::exchange(held_, {});
            text.pop_back();
            if (text.ends_with('\r')) text.pop_back();
            line(text);
        }
    }
    return all - bytes.size();
}

void HttpResponse::ended() {
    if (!done()) stage_ = stage_ == Stage::UntilClose ? Stage::Done : Stage::Broken;
}

void HttpResponse::line(std::string_view text) {
    const Input input = text.empty() ? Input::Empty : Input::Line;
    const auto row = std::ranges::find_if(
        kRows, [&](const Row& one) { return one.stage == stage_ && one.input == input; });
    if (row == std::end(kRows)) {
        stage_ = Stage::Broken;
        return;
    }
    stage_ = row->next;
    switch (row->effect) {
    case Effect::Nothing: return;
    case Effect::Status: return status(text);
    case Effect::Header: return header(text);
    case Effect::StartBody: return startBody();
    case Effect::Size: return size(text);
    }
}

void HttpResponse::status(std::string_view text) {
    std::size_t code = 0;
    if (!text.starts_with("HTTP/1.") || text.size() < 12 || text[8] != ' ' ||
        !wholeNumber(text.substr(9, 3), code, 10))
        stage_ = Stage::Broken;
    status_ = static_cast<int>(code);
    keepsOpen_ = !text.starts_with("HTTP/1.0");
}

void HttpResponse::header(std::string_view text) {
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        stage_ = Stage::Broken;
        return;
    }
    const auto name = text.substr(0, colon), value = trimmed(text.substr(colon + 1));
    if (sameWord(name, "Content-Length")) {
        sized_ = true;
        if (!wholeNumber(value, left_, 10) || left_ > bodyMost_) stage_ = Stage::Broken;
    } else if (sameWord(name, "Transfer-Encoding")) {
        chunked_ = sameWord(value, "chunked");
    } else if (sameWord(name, "Connection")) {
        keepsOpen_ = !sameWord(value, "close");
    } else if (sameWord(name, "X-Never-Ran")) {
        neverRan_ = true;
    }
}

void HttpResponse::startBody() {
    if (status_ / 100 == 1)
        *this = HttpResponse(bodyMost_);
    else if (status_ == 204 || status_ == 304 || (sized_ && !chunked_ && left_ == 0))
        stage_ = Stage::Done;
    else
        stage_ = chunked_ ? Stage::ChunkSize : sized_ ? Stage::Sized : Stage::UntilClose;
}

void HttpResponse::size(std::string_view text) {
    headBytes_ = 0; // chunk lines are bounded each, the body by its own bound
    if (!wholeNumber(trimmed(text.substr(0, text.find(';'))), left_, 16) || left_ > bodyMost_)
        stage_ = Stage::Broken;
    else if (left_ == 0)
        stage_ = Stage::Trailers;
}

void HttpResponse::data(std::string_view& bytes, Stage next) {
    const std::size_t part = std::min(left_, bytes.size());
    if (body_.size() + part > bodyMost_) {
        stage_ = Stage::Broken;
        return;
    }
    body_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    left_ -= part;
    if (left_ == 0) stage_ = next;
}

} // namespace zincstack::net
