#include "command/command_line.h"

#include <CLI/CLI.hpp>

namespace zincstack::command {

namespace {

constexpr int kExitUsageError = 2;

void addRunOptions(CLI::App& app, RunOptions& options) {
    app.add_option("--operator", options.operatorFile,
                   "Path of the operator's file (example: deploy/operator.json)")
        ->type_name("FILE");
}

CLI::App* addRun(CLI::App& app, RunOptions& options) {
    auto* const run = app.add_subcommand("run", "Run the planner (the default without a subcommand)");
    run->add_option("--operator", options.operatorFile, "Path of the operator's file")->type_name("FILE");
    return run;
}

CLI::App* addCheck(CLI::App& app, CheckOptions& options) {
    auto* const check = app.add_subcommand("check", "Validate start files and operator's files");
    check->add_option("FILE", options.files, "Files to validate, of either kind")->required();
    return check;
}

CLI::App* addSubscribe(CLI::App& app, SubscribeOptions& options) {
    auto* const subscribe =
        app.add_subcommand("subscribe", "Print the routing tables of a zone as they change");
    subscribe
        ->add_option("ADDRESS", options.planners,
                     "Address and port of a planner's channel; several are tried in turn")
        ->required();
    subscribe->add_option("--zone", options.zone, "Name of the zone")->required();
    auto* const proxy = subscribe->add_option(
        "--proxy", options.proxy, "Number of the proxy to subscribe as; if absent, subscribe as an observer");
    subscribe->add_option("--weight", options.weight, "Approximate requests per second of that proxy")
        ->needs(proxy);
    subscribe->add_flag("--json", options.json, "Print one JSON object per line");
    subscribe->add_option("--changes", options.maxChanges, "Exit after printing this many changes; 0: never");
    return subscribe;
}

CLI::App* addStandin(CLI::App& app, StandinOptions& options) {
    auto* const standin =
        app.add_subcommand("standin", "Run a stand-in for an external system, for tests and drills");
    auto* const discovery =
        standin->add_subcommand("discovery", "Discovery agent that serves the endpoint list of a file");
    discovery->add_option("FILE", options.file, "Path of the endpoint list; reloaded when the file changes")
        ->required();
    discovery->add_option("--listen", options.listen, "Address and port to listen on")
        ->default_val("127.0.0.1:8500");
    standin->require_subcommand(1);
    return standin;
}

} // namespace

std::variant<Command, int> parseCommandLine(int argumentCount, const char* const* arguments) {
    CLI::App app{"Assigns endpoints to proxies: runs one planner, or inspects one.", "zincstack"};
    app.set_version_flag("--version", "zincstack " ZINCSTACK_VERSION);
    app.footer(
        "Without a subcommand the planner runs. The environment variable PROXY_CONFIG names the start file;\n"
        "PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY override its fields. Exit codes: 0 success,\n"
        "1 failure, 2 invalid input (command line, environment or file) or a subscription that a planner\n"
        "refuses permanently.");
    RunOptions runOptions;
    CheckOptions checkOptions;
    SubscribeOptions subscribeOptions;
    StandinOptions standinOptions;
    addRunOptions(app, runOptions);
    addRun(app, runOptions);
    const auto* const check = addCheck(app, checkOptions);
    const auto* const subscribe = addSubscribe(app, subscribeOptions);
    const auto* const standin = addStandin(app, standinOptions);
    app.require_subcommand(0, 1);

    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError& error) {
        const int exitCode = app.exit(error);
        return exitCode == 0 ? 0 : kExitUsageError;
    }
    if (*check) return Command(checkOptions);
    if (*subscribe) return Command(subscribeOptions);
    if (*standin) return Command(standinOptions);
    return Command(runOptions);
}

} // namespace zincstack::command
