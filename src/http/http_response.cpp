#include "http/http_response.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <utility>

namespace zincstack::net {

namespace {

constexpr std::size_t kMaxHeadBytes = 64 * 1024; // a usual limit of HTTP servers
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;
// Position of the status code in a status line such as "HTTP/1.1 200", and the minimum length of the line.
constexpr std::size_t kStatusCodeOffset = 9;
constexpr std::size_t kStatusCodeDigits = 3;
constexpr std::size_t kMinStatusLine = kStatusCodeOffset + kStatusCodeDigits;

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
    return std::ranges::equal(left, right, [](unsigned char first, unsigned char second) {
        return std::tolower(first) == std::tolower(second);
    });
}

bool isBlank(char character) { return character == ' ' || character == '\t'; }

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
    return text;
}

/// Returns false unless the whole text is a number in the given base.
bool parseNumber(std::string_view text, std::size_t& number, int base) {
    const char* const textBegin = text.data();
    const char* const textEnd = textBegin + text.size();
    const auto [end, error] = std::from_chars(textBegin, textEnd, number, base);
    return error == std::errc{} && end == textEnd;
}

} // namespace

const HttpResponse::Transition HttpResponse::kTransitions[] = {
    {State::StatusLine, Input::Line, State::Headers, Effect::ReadStatus},
    {State::Headers, Input::Line, State::Headers, Effect::ReadHeader},
    {State::Headers, Input::EmptyLine, State::Done, Effect::StartBody},
    {State::ChunkSize, Input::Line, State::ChunkData, Effect::ReadChunkSize},
    {State::ChunkEnd, Input::EmptyLine, State::ChunkSize, Effect::None},
    {State::Trailers, Input::Line, State::Trailers, Effect::None},
    {State::Trailers, Input::EmptyLine, State::Done, Effect::None},
};

std::size_t HttpResponse::feed(std::string_view bytes) {
    const std::size_t size = bytes.size();
    while (!bytes.empty() && !done() && !broken()) {
        switch (state_) {
        case State::BodyWithLength: feedBody(bytes, State::Done); break;
        case State::ChunkData: feedBody(bytes, State::ChunkEnd); break;
        case State::BodyUntilClose:
            // Never reaches zero: only `connectionClosed` completes this body.
            remainingBytes_ = bytes.size() + 1;
            feedBody(bytes, State::BodyUntilClose);
            break;
        default: feedLine(bytes);
        }
    }
    return size - bytes.size();
}

void HttpResponse::connectionClosed() {
    if (!done()) state_ = state_ == State::BodyUntilClose ? State::Done : State::Broken;
}

void HttpResponse::feedLine(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    const bool complete = end != std::string_view::npos;
    const std::size_t part = complete ? end + 1 : bytes.size();
    headBytes_ += part;
    if (headBytes_ > kMaxHeadBytes) {
        state_ = State::Broken;
        return;
    }
    unfinishedLine_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    if (!complete) return;
    std::string line = std::exchange(unfinishedLine_, {});
    line.pop_back();
    if (line.ends_with('\r')) line.pop_back();
    handleLine(line);
}

void HttpResponse::handleLine(std::string_view text) {
    const Input input = text.empty() ? Input::EmptyLine : Input::Line;
    const auto transition = std::ranges::find_if(
        kTransitions, [&](const Transition& one) { return one.state == state_ && one.input == input; });
    if (transition == std::end(kTransitions)) {
        state_ = State::Broken;
        return;
    }
    state_ = transition->next;
    switch (transition->effect) {
    case Effect::None: return;
    case Effect::ReadStatus: return readStatus(text);
    case Effect::ReadHeader: return readHeader(text);
    case Effect::StartBody: return startBody();
    case Effect::ReadChunkSize: return readChunkSize(text);
    }
}

void HttpResponse::readStatus(std::string_view text) {
    std::size_t code = 0;
    const bool wellFormed = text.starts_with("HTTP/1.") && text.size() >= kMinStatusLine &&
                            text[kStatusCodeOffset - 1] == ' ' &&
                            parseNumber(text.substr(kStatusCodeOffset, kStatusCodeDigits), code, 10);
    if (!wellFormed) state_ = State::Broken;
    status_ = static_cast<int>(code);
    keepAlive_ = !text.starts_with("HTTP/1.0");
}

void HttpResponse::readHeader(std::string_view text) {
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        state_ = State::Broken;
        return;
    }
    const auto name = text.substr(0, colon);
    const auto value = trimmed(text.substr(colon + 1));
    if (equalsIgnoringCase(name, "Content-Length")) {
        hasContentLength_ = true;
        if (!parseNumber(value, remainingBytes_, 10) || remainingBytes_ > maxBodyBytes_)
            state_ = State::Broken;
    } else if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        chunked_ = equalsIgnoringCase(value, "chunked");
    } else if (equalsIgnoringCase(name, "Connection")) {
        keepAlive_ = !equalsIgnoringCase(value, "close");
    } else if (equalsIgnoringCase(name, "X-Never-Ran")) {
        hadNoEffect_ = true;
    }
}

void HttpResponse::startBody() {
    const bool isInterim = status_ / 100 == 1;
    const bool hasNoBody = status_ == kStatusNoContent || status_ == kStatusNotModified ||
                           (hasContentLength_ && !chunked_ && remainingBytes_ == 0);
    if (isInterim)
        *this = HttpResponse(maxBodyBytes_);
    else if (hasNoBody)
        state_ = State::Done;
    else if (chunked_)
        state_ = State::ChunkSize;
    else
        state_ = hasContentLength_ ? State::BodyWithLength : State::BodyUntilClose;
}

void HttpResponse::readChunkSize(std::string_view text) {
    headBytes_ = 0; // the limit applies to the lines of each chunk; the body has a limit of its own
    const auto size = trimmed(text.substr(0, text.find(';')));
    if (!parseNumber(size, remainingBytes_, 16) || remainingBytes_ > maxBodyBytes_)
        state_ = State::Broken;
    else if (remainingBytes_ == 0)
        state_ = State::Trailers;
}

void HttpResponse::feedBody(std::string_view& bytes, State next) {
    const std::size_t part = std::min(remainingBytes_, bytes.size());
    if (body_.size() + part > maxBodyBytes_) {
        state_ = State::Broken;
        return;
    }
    body_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    remainingBytes_ -= part;
    if (remainingBytes_ == 0) state_ = next;
}

} // namespace zincstack::net
