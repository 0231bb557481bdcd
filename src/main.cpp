// zincstack: reads the command line and hands over to what it names.
#include <cstdio>
#include <exception>
#include <iostream>

#include "command/check.h"
#include "command/command_line.h"
#include "command/run.h"
#include "command/standin.h"
#include "command/subscribe.h"
#include "errors/input_error.h"

int main(int count, char** words) {
    using namespace zincstack;
    command::HeldSignals held; // first of all: a SIGHUP may come as soon as the process is there
    const auto read = command::read(count, words);
    if (const int* code = std::get_if<int>(&read)) return *code;
    const auto& order = std::get<command::Order>(read);
    try {
        if (const auto* run = std::get_if<command::Run>(&order)) return command::run(*run, held);
        held.letIn();
        if (const auto* check = std::get_if<command::Check>(&order)) return command::check(*check, std::cout);
        if (const auto* subscribe = std::get_if<command::Subscribe>(&order))
            return command::subscribe(*subscribe);
        return command::standin(std::get<command::Standin>(order));
    } catch (const InputError& error) {
        std::fprintf(stderr, "zincstack: %s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "zincstack: %s\n", error.what());
        return 1;
    }
}
