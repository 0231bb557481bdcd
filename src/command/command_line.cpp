#include "command/command_line.h"

#include <CLI/CLI.hpp>

namespace zincstack::command {

std::variant<Order, int> read(int count, const char* const* words) {
    CLI::App app{"Assigns servers to forwarders: runs one planner, or looks at one.", "zincstack"};
    app.set_version_flag("--version", "zincstack " ZINCSTACK_VERSION);
    app.footer(
        "Without a subcommand it runs the planner. PROXY_CONFIG names the start file; PROXY_NAME,\n"
        "PROXY_LISTEN and PROXY_DISCOVERY go before its fields. Exit codes: 0 ended as asked, 1 a failure,\n"
        "2 something given can't be used.");
    Run run;
    Check check;
    Subscribe subscribe;
    std::uint16_t proxy = 0;

    app.add_option("--operator", run.operatorFile, "Operator's file, see deploy/operator.json")
        ->type_name("FILE");
    auto* const runs = app.add_subcommand("run", "Run the planner (also without any subcommand)");
    runs->add_option("--operator", run.operatorFile, "Operator's file")->type_name("FILE");

    auto* const checks = app.add_subcommand("check", "Look for faults in start files and operator's files");
    checks->add_option("FILE", check.files, "Files, of either kind")->required();

    auto* const watches = app.add_subcommand("subscribe", "Print a zone's tables as they change");
    watches
        ->add_option("ADDRESS", subscribe.planners,
                     "Where a planner's channel listens; several are tried in turn")
        ->required();
    watches->add_option("--zone", subscribe.zone, "The zone")->required();
    auto* const joins = watches->add_option("--proxy", proxy, "Join as this proxy; without it only watch");
    watches->add_option("--weight", subscribe.weight, "Rough txns a second of that proxy")->needs(joins);
    watches->add_flag("--json", subscribe.json, "One JSON object a line, for programs");
    watches->add_option("--changes", subscribe.changes, "End after so many changes");
    Standin standin;
    auto* const standins = app.add_subcommand("standin", "Run a stand-in of an outside system, for drills");
    auto* const agent =
        standins->add_subcommand("discovery", "The agent of discovery, from a file with the list");
    agent->add_option("FILE", standin.file, "The list; it may be changed while this runs")->required();
    agent->add_option("--listen", standin.listen, "Address")->default_val("127.0.0.1:8500");
    standins->require_subcommand(1);
    app.require_subcommand(0, 1);

    try {
        app.parse(count, words);
    } catch (const CLI::ParseError& error) {
        const int code = app.exit(error);
        return code == 0 ? 0 : 2;
    }
    if (*checks) return Order(check);
    if (*watches) {
        if (*joins) subscribe.proxy = proxy;
        return Order(subscribe);
    }
    if (*standins) return Order(standin);
    return Order(run);
}

} // namespace zincstack::command
