// Tests of the format of log lines and of the buffer in front of the output.
#include "lavenderarch/core/error_kind.h"
#include "lavenderarch/core/json.h"
#include "lavenderarch/telemetry/log.h"
#include "line_buffer.h"

#include <array>
#include <doctest/doctest.h>
#include <sstream>
#include <unistd.h>

using namespace lavenderarch;

namespace {

/// A pipe that takes the place of standard output while it exists.
class CapturedOutput
{
public:
    CapturedOutput()
    {
        std::array<int, 2> ends{};
        REQUIRE(::pipe(ends.data()) == 0);
        m_read = ends[0];
        m_previous = ::dup(STDOUT_FILENO);
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[1]);
    }
    ~CapturedOutput() { ::close(m_read); }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    /// Restores standard output and returns what was written.
    std::string finish()
    {
        ::dup2(m_previous, STDOUT_FILENO);
        ::close(m_previous);
        std::string text;
        std::array<char, 4096> chunk{};
        for (ssize_t size = 0; (size = ::read(m_read, chunk.data(), chunk.size())) > 0;)
            text.append(chunk.data(), static_cast<std::size_t>(size));
        return text;
    }

private:
    int m_read = -1;
    int m_previous = -1;
};

} // namespace

TEST_CASE("a log line is one JSON object with its fields, whatever they contain")
{
    CapturedOutput output;
    startLogging("test", LogLevel::Info, LogTarget::StandardOutput);
    logEvent(LogLevel::Debug, "c", "not logged");
    logEvent(LogLevel::Info, "c", "plain");
    logEvent(LogLevel::Warning, "c", "with fields", {{"a", "1"}, {"b", "\"\\\n\x01\xff\xc3\xa9"}});
    logDecision(LogLevel::Info, "d", "decided", {{"task", "j.0.0.0"}, {"reason", ""}});
    logFailure("c", "cannot read", makeError(ErrorKind::NotFound, "no row"), {{"job", "j"}});
    stopLogging();
    std::istringstream lines(output.finish());
    std::vector<Json> parsed;
    for (std::string line; std::getline(lines, line);)
        parsed.push_back(Json::parse(line));
    REQUIRE(parsed.size() == 4);
    CHECK(parsed[0].at("level") == "INFO");
    CHECK(parsed[0].at("logger") == "c");
    CHECK(parsed[0].at("message") == "plain");
    CHECK(parsed[0].at("timestamp").get<std::string>().size() == 23);
    CHECK_FALSE(parsed[0].contains("context_map"));
    CHECK(parsed[1].at("level") == "WARN");
    CHECK(parsed[1].at("context_map") == Json{{"a", "1"}, {"b", "\"\\\n\x01\xef\xbf\xbd\xc3\xa9"}});
    CHECK(parsed[2].at("context_map") == Json{{"task", "j.0.0.0"}, {"reason", ""}});
    CHECK(parsed[3].at("message") == "cannot read: no row");
    CHECK(parsed[3].at("context_map") == Json{{"job", "j"}, {"kind", "not-found"}});
}

// Guards against lines as long as what callers send: the buffer is limited in lines.
TEST_CASE("long texts of a log line are shortened")
{
    CapturedOutput output;
    startLogging("test", LogLevel::Info, LogTarget::StandardOutput);
    const std::string longText(100'000, 'x');
    logEvent(LogLevel::Info, "c", longText, {{"path", longText}});
    logFailure("c", "refused", makeError(ErrorKind::NotFound, longText), {{"path", longText}});
    stopLogging();
    const std::string lines = output.finish();
    CHECK(lines.size() > 2000);
    CHECK(lines.size() < 6000);
}

TEST_CASE("a flush waits for all lines added before, but not longer than its deadline")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    {
        LineBuffer buffer(ends[1], 1000);
        CHECK(buffer.flush(BootClock::now()));
        std::string expected;
        for (int index = 0; index < 100; ++index) {
            const std::string line = std::to_string(index) + "\n";
            buffer.add(line);
            expected += line;
        }
        CHECK(buffer.flush(BootClock::now() + Milliseconds(10'000)));
        std::string text(2 * expected.size(), ' ');
        text.resize(static_cast<std::size_t>(::read(ends[0], text.data(), text.size())));
        CHECK(text == expected);
        const std::string line = std::string(1023, 'x') + "\n"; // more than a pipe takes, in all
        for (int index = 0; index < 500; ++index)
            buffer.add(line);
        CHECK_FALSE(buffer.flush(BootClock::now() + Milliseconds(50)));
    }
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("lines are dropped and counted, and nothing blocks, when the output is not read")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    constexpr int capacity = 100;
    constexpr int lines = 1000;
    const std::string line = std::string(1023, 'x') + "\n"; // more than a pipe takes, in all
    {
        LineBuffer buffer(ends[1], capacity);
        for (int index = 0; index < lines; ++index)
            buffer.add(line);
        const LogCounts counts = buffer.counts();
        CHECK(counts.buffered + counts.dropped == lines);
        CHECK(counts.dropped >= lines - 2 * capacity);
    } // the destructor does not wait for a reader
    ::close(ends[0]);
    ::close(ends[1]);
}
