// JSON-line logging with log4cxx.
#include "lavenderarch/telemetry/log.h"

#include "lavenderarch/core/error_descriptor.h"
#include "lavenderarch/core/json_text.h"
#include "line_appender.h"
#include "line_layout.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <unistd.h>

namespace lavenderarch {
namespace {

/// Capacity of the buffer for standard output, in lines of about 200 bytes each.
constexpr std::int64_t bufferCapacityLines = 512;

/// Longest text of a field or message; what callers send may be far longer.
constexpr std::size_t maxTextBytes = 1024;

std::string_view shortened(std::string_view text)
{
    return text.substr(0, maxTextBytes);
}

/// The buffer of LogTarget::StandardOutput; null for the other target.
std::shared_ptr<LineBuffer> standardOutputBuffer;

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

/// One line's message and fields, as the rest of the JSON object that LineLayout begins.
class LineText
{
public:
    explicit LineText(std::string_view message)
    {
        m_text = "\"message\": ";
        appendQuoted(m_text, shortened(message));
    }
    void add(std::string_view name, std::string_view value)
    {
        m_text += m_hasFields ? ", " : ", \"context_map\": { ";
        m_hasFields = true;
        appendQuoted(m_text, name);
        m_text += ": ";
        appendQuoted(m_text, shortened(value));
    }
    std::string finish() && { return std::move(m_text.append(m_hasFields ? " } }" : " }")); }

private:
    std::string m_text;
    bool m_hasFields = false;
};

/// The logger of `component`, or null when it does not log at `level`.
log4cxx::LoggerPtr enabledLogger(std::string_view component, const log4cxx::LevelPtr &level)
{
    auto logger = log4cxx::Logger::getLoggerLS(std::string(component));
    return logger->isEnabledFor(level) ? logger : nullptr;
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
    const auto layout = std::make_shared<LineLayout>();
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    if (target == LogTarget::StandardOutput) {
        standardOutputBuffer = std::make_shared<LineBuffer>(STDOUT_FILENO, bufferCapacityLines);
        root->addAppender(std::make_shared<LineAppender>(layout, standardOutputBuffer));
    } else {
        root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr()));
    }
    root->setLevel(toLog4cxxLevel(minimumLevel));
    logEvent(LogLevel::Debug, program, "logging started");
}

void stopLogging()
{
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    standardOutputBuffer.reset();
}

bool flushLog(BootTime deadline)
{
    return standardOutputBuffer == nullptr || standardOutputBuffer->flush(deadline);
}

LogCounts logCounts()
{
    return standardOutputBuffer == nullptr ? LogCounts{} : standardOutputBuffer->counts();
}

void logEvent(LogLevel level, std::string_view component, std::string_view message,
              std::initializer_list<LogField> fields)
{
    const auto log4cxxLevel = toLog4cxxLevel(level);
    const auto logger = enabledLogger(component, log4cxxLevel);
    if (logger == nullptr)
        return;
    LineText line(message);
    for (const LogField &field : fields)
        line.add(field.name, field.value);
    logger->forcedLogLS(log4cxxLevel, std::move(line).finish(), log4cxx::spi::LocationInfo());
}

void logDecision(LogLevel level, std::string_view component, std::string_view message,
                 const std::vector<std::pair<std::string, std::string>> &fields)
{
    const auto log4cxxLevel = toLog4cxxLevel(level);
    const auto logger = enabledLogger(component, log4cxxLevel);
    if (logger == nullptr)
        return;
    LineText line(message);
    for (const auto &[name, value] : fields)
        line.add(name, value);
    logger->forcedLogLS(log4cxxLevel, std::move(line).finish(), log4cxx::spi::LocationInfo());
}

void logFailure(std::string_view component, std::string_view message, const Status &status,
                std::initializer_list<LogField> fields)
{
    const auto log4cxxLevel = toLog4cxxLevel(LogLevel::Warning);
    const auto logger = enabledLogger(component, log4cxxLevel);
    if (logger == nullptr)
        return;
    LineText line(std::string(message) + ": " + messageOf(status));
    for (const LogField &field : fields)
        line.add(field.name, field.value);
    line.add("kind", errorDescriptor(kindOf(status)).name);
    logger->forcedLogLS(log4cxxLevel, std::move(line).finish(), log4cxx::spi::LocationInfo());
}

} // namespace lavenderarch
