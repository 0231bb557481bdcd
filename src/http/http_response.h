// Parser of one HTTP/1.1 response that arrives in arbitrary pieces. Knows no socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zincstack::net {

/// A state machine over lines and body bytes. Reads bodies by Content-Length, in chunks, or until the connection
/// closes; interim responses (1xx) are skipped.
class HttpResponse {
public:
    explicit HttpResponse(std::size_t maxBodyBytes) : maxBodyBytes_(maxBodyBytes) {}

    /// The number of bytes taken: all of them unless the response is done or broken.
    std::size_t feed(std::string_view bytes);
    /// The connection is closed: the response is done if it may end so, otherwise broken.
    void ended();

    bool done() const { return state_ == State::Done; }
    /// Malformed, larger than allowed, or cut off.
    bool broken() const { return state_ == State::Broken; }
    int status() const { return status_; }
    const std::string& body() const { return body_; }
    /// Whether the server takes another request on this connection.
    bool keepAlive() const { return keepAlive_; }
    /// Whether the server says by its header X-Never-Ran that the request had no effect.
    bool neverRan() const { return neverRan_; }

private:
    enum class State : std::uint8_t {
        StatusLine,
        Headers,
        BodyOfLength,
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
    std::size_t remainingBytes_ = 0; ///< of the body, or of the chunk
    std::size_t headBytes_ = 0;      ///< in lines so far
    int status_ = 0;
    bool hasLength_ = false;
    bool chunked_ = false;
    bool keepAlive_ = true;
    bool neverRan_ = false;
};

} // namespace zincstack::net
