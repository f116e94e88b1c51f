// log4cxx layout of the lines that log.cpp formats.
#pragma once

#include <log4cxx/layout.h>

namespace lavenderarch {

/// Writes time, level and logger in front of a message that is the rest of a JSON object.
class LineLayout : public log4cxx::Layout
{
public:
    void activateOptions(log4cxx::helpers::Pool &) override {}
    void setOption(const log4cxx::LogString &, const log4cxx::LogString &) override {}
    bool ignoresThrowable() const override { return true; }
    void format(log4cxx::LogString &output, const log4cxx::spi::LoggingEventPtr &event,
                log4cxx::helpers::Pool &pool) const override;
};

} // namespace lavenderarch
