// Structured logging: JSON lines through log4cxx.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/telemetry/log_field.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavenderarch {

enum class LogLevel { Debug, Info, Warning, Error };

/// Parses "debug", "info", "warning" or "error".
StatusOr<LogLevel> parseLogLevel(std::string_view text);

/// Where log lines go. StandardOutput is written asynchronously from a bounded buffer: lines
/// that do not fit are dropped and counted, and callers never block.
enum class LogTarget { StandardError, StandardOutput };

/// Sends log lines of `minimumLevel` and above to `target`. Call once, before other threads.
void startLogging(std::string_view program, LogLevel minimumLevel,
                  LogTarget target = LogTarget::StandardError);
/// Writes the buffered lines and discards later ones. Call once, after other threads.
void stopLogging();
/// Writes the lines that are buffered for standard output. False when they are not written by
/// `deadline`, since the output is not read. Thread-safe.
bool flushLog(BootTime deadline);

/// Writes one JSON line with level, component, message and fields. Thread-safe.
void logEvent(LogLevel level, std::string_view component, std::string_view message,
              std::initializer_list<LogField> fields = {});
/// The same for a scheduling decision whose fields are known only at run time.
void logDecision(LogLevel level, std::string_view component, std::string_view message,
                 const std::vector<std::pair<std::string, std::string>> &fields);

/// Writes a warning with the message and the error kind of `status`.
void logFailure(std::string_view component, std::string_view message, const Status &status,
                std::initializer_list<LogField> fields = {});

} // namespace lavenderarch
