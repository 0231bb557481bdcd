// Reads one HTTP/1.1 response, fed in any pieces. Knows no socket.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace zincstack::net {

class HttpResponse {
public:
    enum class Stage {
        StatusLine,
        Headers,
        Sized,
        UntilClose,
        ChunkSize,
        Chunk,
        ChunkEnd,
        Trailers,
        Done,
        Broken
    };

    explicit HttpResponse(std::size_t bodyMost) : bodyMost_(bodyMost) {}

    /// Returns how many bytes it took: all of them unless the response is done or broken.
    std::size_t feed(std::string_view bytes);
    /// The connection has ended: done if the response could end so, else broken.
    void ended();

    bool done() const { return stage_ == Stage::Done; }
    bool broken() const { return stage_ == Stage::Broken; }
    int status() const { return status_; }
    const std::string& body() const { return body_; }
    bool keepsOpen() const { return keepsOpen_; }
    bool neverRan() const { return neverRan_; }

private:
    enum class Input { Line, Empty };
    enum class Effect { Nothing, Status, Header, StartBody, Size };
    struct Row {
        Stage stage;
        Input input;
        Stage next;
        Effect effect;
    };
    static const Row kRows[];

    void line(std::string_view text);
    void status(std::string_view text);
    void header(std::string_view text);
    void startBody();
    void size(std::string_view text);
    void data(std::string_view& bytes, Stage next);

    std::size_t bodyMost_;
    Stage stage_ = Stage::StatusLine;
    std::string held_, body_; // a line without its end yet; the body as far as it came
    std::size_t left_ = 0, headBytes_ = 0;
    int status_ = 0;
    bool sized_ = false, chunked_ = false, keepsOpen_ = true, neverRan_ = false;
};

} // namespace zincstack::net
