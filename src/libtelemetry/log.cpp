// JSON-line logging with log4cxx.
#include "lavenderarch/telemetry/log.h"

#include "lavenderarch/core/error_descriptor.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace lavenderarch {
namespace {

/// Capacity of the buffer for standard output, in lines of about 200 bytes each.
constexpr int bufferCapacityLines = 512;

log4cxx::LevelPtr toLog4cxxLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace

StatusOr<LogLevel> parseLogLevel(std::string_view text)
{
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info")
        return LogLevel::Info;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    return makeError(ErrorKind::InvalidRequest, "log level '" + std::string(text) + "' is unknown");
}

void startLogging(std::string_view program, LogLevel minimumLevel, LogTarget target)
{
    const bool standardOutput = target == LogTarget::StandardOutput;
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto console = std::make_shared<log4cxx::ConsoleAppender>(
        layout, standardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                               : log4cxx::ConsoleAppender::getSystemErr());
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    if (standardOutput) {
        auto buffer = std::make_shared<log4cxx::AsyncAppender>();
        buffer->setBufferSize(bufferCapacityLines);
        buffer->setBlocking(false);
        buffer->addAppender(console);
        root->addAppender(buffer);
    } else {
        root->addAppender(console);
    }
    root->setLevel(toLog4cxxLevel(minimumLevel));
    logEvent(LogLevel::Debug, program, "logging started");
}

void logEvent(LogLevel level, std::string_view component, std::string_view message,
              std::initializer_list<LogField> fields)
{
    const auto logger = log4cxx::Logger::getLogger(std::string(component));
    const auto log4cxxLevel = toLog4cxxLevel(level);
    if (!logger->isEnabledFor(log4cxxLevel))
        return;
    for (const LogField &field : fields)
        log4cxx::MDC::put(std::string(field.name), field.value);
    logger->log(log4cxxLevel, std::string(message));
    for (const LogField &field : fields)
        log4cxx::MDC::remove(std::string(field.name));
}

void logDecision(LogLevel level, std::string_view component, std::string_view message,
                 const std::vector<std::pair<std::string, std::string>> &fields)
{
    const auto logger = log4cxx::Logger::getLogger(std::string(component));
    const auto log4cxxLevel = toLog4cxxLevel(level);
    if (!logger->isEnabledFor(log4cxxLevel))
        return;
    for (const auto &[name, value] : fields)
        log4cxx::MDC::put(name, value);
    logger->log(log4cxxLevel, std::string(message));
    for (const auto &[name, value] : fields)
        log4cxx::MDC::remove(name);
}

void logFailure(std::string_view component, std::string_view message, const Status &status,
                std::initializer_list<LogField> fields)
{
    log4cxx::MDC::put("kind", std::string(errorDescriptor(kindOf(status)).name));
    logEvent(LogLevel::Warning, component, std::string(message) + ": " + messageOf(status), fields);
    log4cxx::MDC::remove("kind");
}

} // namespace lavenderarch
