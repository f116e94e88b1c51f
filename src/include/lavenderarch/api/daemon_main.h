// The main function shared by the daemons.
#pragma once

#include "lavenderarch/api/shutdown_signal.h"
#include "lavenderarch/config/program_settings.h"
#include "lavenderarch/telemetry/log.h"

#include <iostream>

namespace lavenderarch {

/// Reads the settings, starts `Daemon`, waits for SIGTERM or SIGINT, drains, and returns the exit
/// code: 2 for invalid settings, 1 when the daemon cannot start.
template <typename Daemon, typename Settings>
int runDaemon(int argc, const char *const *argv, const char *program, const char *schemaText)
{
    const ProgramSettings programSettings = readProgramSettings(argc, argv, program, schemaText);
    if (programSettings.exitCode)
        return *programSettings.exitCode;
    const auto settings = fromJson<Settings>(programSettings.values, "settings");
    if (!settings.ok()) {
        std::cerr << program << ": " << messageOf(settings.status()) << "\n";
        return 2;
    }
    ShutdownSignal shutdown;
    startLogging(program, parseLogLevel(settings->logLevel).value_or(LogLevel::Info));
    Daemon daemon(*settings);
    const Status started = daemon.start();
    if (!started.ok()) {
        logFailure(program, "cannot start", started);
        return 1;
    }
    logEvent(LogLevel::Info, program, "started", {{"listen", settings->listen.text()}});
    while (!shutdown.waitFor(std::chrono::seconds(60))) {
    }
    logEvent(LogLevel::Info, program, "draining");
    daemon.drain();
    logEvent(LogLevel::Info, program, "stopped");
    return 0;
}

} // namespace lavenderarch
