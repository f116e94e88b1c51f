// Formats the head of a log line and passes the line on.
#include "line_layout.h"

#include "line_appender.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <log4cxx/level.h>
#include <log4cxx/spi/loggingevent.h>

namespace lavenderarch {
namespace {

void appendTime(std::string &output, log4cxx::log4cxx_time_t microseconds)
{
    const auto seconds = static_cast<std::time_t>(microseconds / 1'000'000);
    const auto milliseconds = static_cast<int>(microseconds / 1000 % 1000);
    std::tm local{};
    localtime_r(&seconds, &local);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &local);
    output.append(text.data(), length);
    std::snprintf(text.data(), text.size(), ",%03d", milliseconds);
    output += text.data();
}

} // namespace

void LineLayout::format(log4cxx::LogString &output, const log4cxx::spi::LoggingEventPtr &event,
                        log4cxx::helpers::Pool &) const
{
    output += R"({ "timestamp": ")";
    appendTime(output, event->getTimeStamp());
    output.append(R"(", "level": ")").append(event->getLevel()->toString());
    output.append(R"(", "logger": ")").append(event->getLoggerName());
    output.append("\", ").append(event->getRenderedMessage()).append("\n");
}

LineAppender::LineAppender(const log4cxx::LayoutPtr &lines, std::shared_ptr<LineBuffer> buffer)
    : m_buffer(std::move(buffer))
{
    setLayout(lines);
}

void LineAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool)
{
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    m_buffer->add(line);
}

} // namespace lavenderarch
