#include "command/command_line.h"

#include <CLI/CLI.hpp>

namespace zincstack::command {

namespace {

constexpr int kExitUsageError = 2;

void addRunOptions(CLI::App& app, RunOptions& options) {
    app.add_option("--operator", options.operatorFile, "Operator's file, see deploy/operator.json")
        ->type_name("FILE");
}

CLI::App* addRun(CLI::App& app, RunOptions& options) {
    auto* const run = app.add_subcommand("run", "Run the planner (also without any subcommand)");
    run->add_option("--operator", options.operatorFile, "Operator's file")->type_name("FILE");
    return run;
}

CLI::App* addCheck(CLI::App& app, CheckOptions& options) {
    auto* const check = app.add_subcommand("check", "Look for faults in start files and operator's files");
    check->add_option("FILE", options.files, "Files, of either kind")->required();
    return check;
}

CLI::App* addSubscribe(CLI::App& app, SubscribeOptions& options) {
    auto* const subscribe = app.add_subcommand("subscribe", "Print a zone's tables as they change");
    subscribe
        ->add_option("ADDRESS", options.planners,
                     "Where a planner's channel listens; several are tried in turn")
        ->required();
    subscribe->add_option("--zone", options.zone, "The zone")->required();
    auto* const proxy =
        subscribe->add_option("--proxy", options.proxy, "Join as this proxy; without it only watch");
    subscribe->add_option("--weight", options.weight, "Rough txns a second of that proxy")->needs(proxy);
    subscribe->add_flag("--json", options.json, "One JSON object a line, for programs");
    subscribe->add_option("--changes", options.changes, "End after so many changes");
    return subscribe;
}

CLI::App* addStandin(CLI::App& app, StandinOptions& options) {
    auto* const standin = app.add_subcommand("standin", "Run a stand-in of an outside system, for drills");
    auto* const discovery =
        standin->add_subcommand("discovery", "The agent of discovery, from a file with the list");
    discovery->add_option("FILE", options.file, "The list; it may be changed while this runs")->required();
    discovery->add_option("--listen", options.listen, "Address")->default_val("127.0.0.1:8500");
    standin->require_subcommand(1);
    return standin;
}

} // namespace

std::variant<Command, int> parseCommandLine(int argumentCount, const char* const* arguments) {
    CLI::App app{"Assigns servers to forwarders: runs one planner, or looks at one.", "zincstack"};
    app.set_version_flag("--version", "zincstack " ZINCSTACK_VERSION);
    app.footer(
        "Without a subcommand it runs the planner. PROXY_CONFIG names the start file; PROXY_NAME,\n"
        "PROXY_LISTEN and PROXY_DISCOVERY go before its fields. Exit codes: 0 ended as asked, 1 a failure,\n"
        "2 something given can't be used.");
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
