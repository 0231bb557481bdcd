// Tests the HTTP response parser.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string_view>

#include "http/http_response.h"
#include "input_pieces.h"

namespace zincstack::net {
namespace {

HttpResponse responseOf(std::string_view text, bool closes) {
    HttpResponse response(1 << 20);
    tests::feedInPieces(text, [&](std::string_view piece) { response.feed(piece); });
    if (closes) response.connectionClosed();
    return response;
}

RC_GTEST_PROP(HttpResponseTest, ReadsEveryBodyEncodingFromArbitraryPieces, ()) {
    const std::string_view texts[] = {
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\nT: v\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.0 200 OK\r\n\r\nhello"};
    for (const auto text : texts) {
        const auto response = responseOf(text, text.starts_with("HTTP/1.0"));
        RC_ASSERT(response.done());
        RC_ASSERT(response.status() == 200);
        RC_ASSERT(response.body() == "hello");
    }
    const std::string_view complete = texts[*rc::gen::inRange(0, 3)];
    RC_ASSERT(
        responseOf(complete.substr(0, *rc::gen::inRange<std::size_t>(0, complete.size())), true).broken());
}

TEST(HttpResponseTest, RejectsMalformedResponses) {
    for (const std::string_view malformed :
         {"HTTP/2 200\r\n", "\r\n", "HTTP/1.1 abc no\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n", "HTTP/1.1 200 OK\r\nnocolon\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        HttpResponse response(1 << 20);
        response.feed(malformed);
        EXPECT_TRUE(response.broken()) << malformed;
    }
}

} // namespace
} // namespace zincstack::net
