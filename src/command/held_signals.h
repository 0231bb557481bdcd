// Signals that wait until somebody handles them.
#pragma once

#include <csignal>

namespace zincstack::command {

/// Holds back the signals that the planner handles itself, until they are let in. Guards against the times when no
/// handler is set, at the start and once the loop has ended: there SIGHUP would end the program, and SIGTERM
/// would end it without its exit code. What is held at the end of the process stays unheard.
class HeldSignals {
public:
    HeldSignals() { hold(); }
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;

    void hold() { pthread_sigmask(SIG_BLOCK, &set(), nullptr); }
    void letIn() { pthread_sigmask(SIG_UNBLOCK, &set(), nullptr); }

private:
    static const sigset_t& set() {
        static const sigset_t all = [] {
            sigset_t out;
            sigemptyset(&out);
            for (const int one : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&out, one);
            return out;
        }();
        return all;
    }
};

} // namespace zincstack::command
