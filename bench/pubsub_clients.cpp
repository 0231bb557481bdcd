#include "pubsub_clients.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "client/subscription_client.h"

namespace zincstack::bench {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// Returns the value of a field in a line of the platform's protocol, or an empty string if the field is
/// missing. `field` is the name with a leading space and a trailing "=".
std::string_view fieldOf(std::string_view line, std::string_view field) {
    const auto found = line.find(field);
    if (found == std::string_view::npos) return {};
    const auto begin = found + field.size();
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// A client of the platform's protocol: sends the hello line, acknowledges barriers, and records when a
/// change arrives.
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
public:
    PlatformClient(asio::io_context& io, std::size_t number, SharedState& shared)
        : socket_(io), number_(number), shared_(shared) {}

    void start(const tcp::endpoint& planner) {
        socket_.connect(planner);
        socket_.set_option(tcp::no_delay(true));
        send("hello proxy=" + std::to_string(number_) + " zone=a weight=1 fresh=1\r\n");
        readLine();
    }

private:
    void send(const std::string& text) {
        boost::system::error_code ignored;
        asio::write(socket_, asio::buffer(text), ignored);
    }
    void readLine() {
        const auto onLine = [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            if (error) return;
            self->handleLine(std::string_view(self->buffer_).substr(0, size - 2));
            self->buffer_.erase(0, size);
            self->readLine();
        };
        asio::async_read_until(socket_, asio::dynamic_buffer(buffer_), "\r\n", onLine);
    }
    void handleLine(std::string_view line) {
        const bool isChange = !fieldOf(line, " drop=").empty() || !fieldOf(line, " rows=").empty();
        if (isChange) shared_.recordReceipt(number_);
        const auto barrier = fieldOf(line, " stamp=");
        if (barrier.empty()) return;
        send("ack proxy=" + std::to_string(number_) + " mark=" + std::string(barrier) + " took_ms=0.1\r\n");
    }

    tcp::socket socket_;
    const std::size_t number_;
    SharedState& shared_;
    std::string buffer_;
};

using ChannelClients = std::vector<std::shared_ptr<client::SubscriptionClient>>;

std::shared_ptr<client::SubscriptionClient> makeChannelClient(asio::io_context& io, std::size_t number,
                                                              SharedState& shared,
                                                              const tcp::endpoint& planner) {
    const client::Identity identity{ProxyId{static_cast<std::uint16_t>(number)}, "a", 1};
    const client::ReconnectConfig reconnect{.initialDelay = 2ms, .maxDelay = 20ms};
    const auto onChange = [&shared, number](std::optional<pubsub::TopicId> topic) {
        if (topic) shared.recordReceipt(number);
    };
    return std::make_shared<client::SubscriptionClient>(io, std::vector{planner}, identity, reconnect, number,
                                                        10s, onChange);
}

void executeCommand(ClientCommand command, int percent, const ChannelClients& clients) {
    for (std::size_t k = 0; k < clients.size(); ++k) {
        if (k * 100 >= static_cast<std::size_t>(percent) * clients.size()) break;
        switch (command) {
        case ClientCommand::None: break;
        case ClientCommand::DropConnections: clients[k]->dropConnection(); break;
        case ClientCommand::PauseReading: clients[k]->pauseReading(true); break;
        case ClientCommand::ResumeReading: clients[k]->pauseReading(false); break;
        }
    }
}

} // namespace

std::int64_t steadyMicros() { return client::SubscriptionClient::now().count(); }

void SharedState::recordReceipt(std::size_t client) {
    const std::uint64_t change = currentChange;
    if (change == 0 || receivedAtMicros[change][client] != 0) return;
    receivedAtMicros[change][client] = steadyMicros();
    ++receivedBy[change];
}

void runClients(SharedState& shared, Transport transport, std::size_t subscribers,
                const tcp::endpoint& planner) {
    asio::io_context io(1);
    ChannelClients channelClients;
    std::vector<std::shared_ptr<PlatformClient>> platformClients;
    for (std::size_t number = 0; number < subscribers; ++number) {
        if (transport == Transport::Platform) {
            platformClients.push_back(std::make_shared<PlatformClient>(io, number, shared));
            platformClients.back()->start(planner);
        } else {
            channelClients.push_back(makeChannelClient(io, number, shared, planner));
            channelClients.back()->start();
        }
    }
    for (int lastCommand = 0;;) {
        io.run_one_for(1ms);
        if (shared.commandNumber == lastCommand) continue;
        lastCommand = shared.commandNumber;
        executeCommand(shared.command, shared.percentOfClients, channelClients);
        ++shared.commandsDone;
    }
}

} // namespace zincstack::bench
