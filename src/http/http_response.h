// An incremental parser of one HTTP/1.1 response. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zincstack::net {

/// A state machine over lines and body bytes. Supports bodies with a Content-Length, chunked bodies, and
/// bodies that end when the connection closes. Skips interim responses (1xx).
class HttpResponse {
public:
    explicit HttpResponse(std::size_t maxBodyBytes) : maxBodyBytes_(maxBodyBytes) {}

    /// Parses the next bytes. Returns the number of bytes consumed: all of them unless the response is done
    /// or broken.
    std::size_t feed(std::string_view bytes);
    /// Must be called when the connection has closed. This completes a body that has no declared length; any
    /// other unfinished response becomes broken.
    void connectionClosed();

    bool done() const { return state_ == State::Done; }
    /// Whether the response is malformed, larger than allowed, or truncated.
    bool broken() const { return state_ == State::Broken; }
    int status() const { return status_; }
    const std::string& body() const { return body_; }
    /// Whether the server accepts another request on this connection.
    bool keepAlive() const { return keepAlive_; }
    /// Whether the response has the header X-Never-Ran, which states that the request had no effect.
    bool hadNoEffect() const { return hadNoEffect_; }

private:
    enum class State : std::uint8_t {
        StatusLine,
        Headers,
        BodyWithLength,
        BodyUntilClose,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailers,
        Done,
        Broken
    };
    enum class Input : std::uint8_t { Line, EmptyLine };
    enum class Effect : std::uint8_t { None, ReadStatus, ReadHeader, StartBody, ReadChunkSize };
    struct Transition {
        State state;
        Input input;
        State next;
        Effect effect;
    };
    static const Transition kTransitions[];

    void feedLine(std::string_view& bytes);
    void feedBody(std::string_view& bytes, State next);
    void handleLine(std::string_view text);
    void readStatus(std::string_view text);
    void readHeader(std::string_view text);
    void startBody();
    void readChunkSize(std::string_view text);

    std::size_t maxBodyBytes_;
    State state_ = State::StatusLine;
    std::string unfinishedLine_;
    std::string body_;
    std::size_t remainingBytes_ = 0; ///< bytes still expected of the body or of the current chunk
    std::size_t headBytes_ = 0;      ///< bytes received in lines, as opposed to body bytes
    int status_ = 0;
    bool hasContentLength_ = false;
    bool chunked_ = false;
    bool keepAlive_ = true;
    bool hadNoEffect_ = false;
};

} // namespace zincstack::net
