// Tests of the metrics and of their text.
#include "lavenderarch/telemetry/metrics.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

TEST_CASE("metrics are kept apart by name and labels, and repeated ones add up")
{
    Metrics metrics;
    for (int turn = 0; turn < 3; ++turn) {
        metrics.increment("calls", {{"kind", "poll"}});
        metrics.increment("calls", {{"kind", "report"}}, 2);
        metrics.increment("others");
        metrics.setGauge("lines", turn);
        metrics.observeSeconds("call_seconds", 0.3, {{"kind", "poll"}});
    }
    const std::string text = metrics.exposition();
    for (const char *line : {"calls{kind=\"poll\"} 3\n", "calls{kind=\"report\"} 6\n", "others 3\n",
                             "lines 2\n", "call_seconds_count{kind=\"poll\"} 3\n",
                             "call_seconds_bucket{kind=\"poll\",le=\"0.2\"} 0\n",
                             "call_seconds_bucket{kind=\"poll\",le=\"0.5\"} 3\n"})
        CHECK_MESSAGE(text.find(line) != std::string::npos, line);
}
