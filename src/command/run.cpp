#include "command/run.h"

#include <exception>
#include <utility>

#include "command/daemon.h"
#include "errors/input_error.h"
#include "log/log.h"

namespace zincstack::command {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUnusableInput = 2;

/// Reads the operator's file first, so that errors in the start file are logged in the operator's format and
/// level.
DaemonConfig loadDaemonConfig(const std::string& operatorFile) {
    DaemonConfig config;
    config.operatorFile = operatorFile;
    config.operatorConfig = config::loadOperatorConfig(operatorFile);
    configureLog(config.operatorConfig.log);
    config.startFile = config::loadStartFile();
    config.settings = config::readStartSettings(config.startFile.settings);
    for (const auto& notice : config.settings.notices) log::warn("start_terms", {{"notice", notice}});
    return config;
}

} // namespace

int run(const RunOptions& options, SignalMask& signals) {
    configureLog({});
    try {
        Daemon daemon(loadDaemonConfig(options.operatorFile));
        return daemon.run(signals);
    } catch (const InputError& error) {
        log::critical("unusable", {{"what", error.what()}});
        return kExitUnusableInput;
    } catch (const std::exception& error) {
        log::critical("failed", {{"what", error.what()}});
        return kExitFailure;
    }
}

} // namespace zincstack::command
