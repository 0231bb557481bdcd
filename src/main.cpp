// zincstack: parses the command line and runs the chosen command.
#include <cstdio>
#include <exception>
#include <iostream>

#include "command/check.h"
#include "command/command_line.h"
#include "command/run.h"
#include "command/standin.h"
#include "command/subscribe.h"
#include "errors/input_error.h"

namespace {

using namespace zincstack;

constexpr int kExitFailure = 1;
constexpr int kExitUnusableInput = 2;

int execute(const command::Command& chosen, command::SignalMask& signals) {
    if (const auto* run = std::get_if<command::RunOptions>(&chosen)) return command::run(*run, signals);
    signals.unblock(); // the other commands use the default actions or install their own handlers
    if (const auto* check = std::get_if<command::CheckOptions>(&chosen))
        return command::check(*check, std::cout);
    if (const auto* subscribe = std::get_if<command::SubscribeOptions>(&chosen))
        return command::subscribe(*subscribe);
    return command::standin(std::get<command::StandinOptions>(chosen));
}

} // namespace

int main(int argumentCount, char** arguments) {
    command::SignalMask signals; // before anything else: SIGHUP may arrive as soon as the process exists
    const auto parsed = command::parseCommandLine(argumentCount, arguments);
    if (const int* exitCode = std::get_if<int>(&parsed)) return *exitCode;
    try {
        return execute(std::get<command::Command>(parsed), signals);
    } catch (const InputError& error) {
        std::fprintf(stderr, "zincstack: %s\n", error.what());
        return kExitUnusableInput;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "zincstack: %s\n", error.what());
        return kExitFailure;
    }
}
