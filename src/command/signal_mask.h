// Blocks the signals of a planner process while no handler is installed for them.
#pragma once

#include <csignal>

namespace zincstack::command {

/// Blocks SIGHUP, SIGTERM, SIGINT and SIGUSR1 from construction until `unblock`, and again after `block`.
///
/// Without a handler, SIGHUP would terminate the process and SIGTERM would end it without its own exit code.
/// Either signal can arrive before the handlers are installed or after the event loop has ended. A blocked
/// signal stays pending and is delivered on `unblock`; a signal that is still pending when the process exits
/// is lost.
class SignalMask {
public:
    SignalMask() { block(); }
    ~SignalMask() = default;
    SignalMask(const SignalMask&) = delete;
    SignalMask& operator=(const SignalMask&) = delete;

    void block() { pthread_sigmask(SIG_BLOCK, &handledSignals(), nullptr); }
    void unblock() { pthread_sigmask(SIG_UNBLOCK, &handledSignals(), nullptr); }

private:
    static const sigset_t& handledSignals() {
        static const sigset_t kSignals = [] {
            sigset_t set;
            sigemptyset(&set);
            for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&set, signal);
            return set;
        }();
        return kSignals;
    }
};

} // namespace zincstack::command
