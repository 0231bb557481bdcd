// A small event loop for the stand-ins: sockets on epoll and timers on the real clock. One thread.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// Seconds since the start of the program.
inline double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// Unix time in milliseconds.
inline std::int64_t unixMillis() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

class Loop {
public:
    Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

    void at(double when, std::function<void()> action) { timers_.emplace(when, std::move(action)); }
    void after(double delay, std::function<void()> action) { at(now() + delay, std::move(action)); }

    /// Calls `handler` with the epoll events of the descriptor until `forget`.
    void watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> handler) {
        handlers_[fd] = std::make_shared<std::function<void(std::uint32_t)>>(std::move(handler));
        epoll_event event{events, {.fd = fd}};
        epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    }
    void change(int fd, std::uint32_t events) const {
        epoll_event event{events, {.fd = fd}};
        epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
    }
    void forget(int fd) {
        handlers_.erase(fd);
        epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    }
    void stop() { stopped_ = true; }

    void run() {
        while (!stopped_) {
            while (!timers_.empty() && timers_.begin()->first <= now()) {
                const auto action = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                action();
                if (stopped_) return;
            }
            int wait = 100;
            if (!timers_.empty())
                wait = std::max(0, std::min(100, static_cast<int>((timers_.begin()->first - now()) * 1000)));
            epoll_event events[256];
            const int count = epoll_wait(epoll_, events, 256, wait);
            for (int k = 0; k < count; ++k) {
                const auto found = handlers_.find(events[k].data.fd);
                if (found == handlers_.end()) continue;
                const auto handler = found->second;
                (*handler)(events[k].events);
            }
        }
    }

private:
    int epoll_;
    bool stopped_ = false;
    std::multimap<double, std::function<void()>> timers_;
    std::map<int, std::shared_ptr<std::function<void(std::uint32_t)>>> handlers_;
};

/// A loopback address of this process, so that no other program's connection can take a port that was free.
inline const std::string& host() {
    static const std::string text = "127." + std::to_string(1 + getpid() % 250) + "." +
                                    std::to_string(getpid() / 250 % 250) + ".1";
    return text;
}

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, host().c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Listens on a free port and returns the descriptor.
inline int listenOnFreePort(int& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) || listen(fd, 512)) std::exit(2);
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// A port that is free now.
inline int freePort() {
    int port = 0;
    close(listenOnFreePort(port));
    return port;
}

/// A connection with a write queue. Deletes nothing by itself: `closed` is called once, at its end.
class Peer : public std::enable_shared_from_this<Peer> {
public:
    Peer(Loop& loop, int fd) : loop_(loop), fd_(fd) {}
    ~Peer() { drop(); }

    static std::shared_ptr<Peer> connect(Loop& loop, int port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0) return nullptr;
        const sockaddr_in address = loopback(port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) &&
            errno != EINPROGRESS) {
            close(fd);
            return nullptr;
        }
        return std::make_shared<Peer>(loop, fd);
    }

    double pieceAt = 0; ///< when the next piece of a message may be sent, see World::sendMessage
    std::function<void(const std::string& bytes)> received;
    std::function<void()> closed;

    void start() {
        int one = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        loop_.watch(fd_, unsent_.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT,
                    [weak = weak_from_this()](std::uint32_t events) {
                        if (const auto self = weak.lock()) self->handle(events);
                    });
        watching_ = true;
    }
    bool open() const { return fd_ >= 0; }
    void send(const std::string& bytes) {
        if (!open()) return;
        unsent_ += bytes;
        if (watching_) loop_.change(fd_, EPOLLIN | EPOLLOUT);
    }
    /// Closes once everything is written.
    void finish() {
        finishing_ = true;
        if (unsent_.empty()) drop();
    }
    void drop() {
        if (fd_ < 0) return;
        if (watching_) loop_.forget(fd_);
        ::close(fd_);
        fd_ = -1;
    }

private:
    void handle(std::uint32_t events) {
        const auto self = shared_from_this();
        if (events & EPOLLOUT && !unsent_.empty()) {
            const auto size = ::send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
            if (size > 0) unsent_.erase(0, static_cast<std::size_t>(size));
            if (unsent_.empty()) {
                loop_.change(fd_, EPOLLIN);
                if (finishing_) return drop();
            }
        }
        if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
        char buffer[65536];
        const auto size = ::recv(fd_, buffer, sizeof buffer, 0);
        if (size > 0) {
            if (received) received(std::string(buffer, static_cast<std::size_t>(size)));
            return;
        }
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        drop();
        if (closed) closed();
    }

    Loop& loop_;
    int fd_;
    bool watching_ = false;
    bool finishing_ = false;
    std::string unsent_;
};
