// log4cxx appender that passes formatted lines to a LineBuffer.
#pragma once

#include "line_buffer.h"

#include <log4cxx/appenderskeleton.h>
#include <memory>

namespace lavenderarch {

class LineAppender : public log4cxx::AppenderSkeleton
{
public:
    LineAppender(const log4cxx::LayoutPtr &lines, std::shared_ptr<LineBuffer> buffer);

    void close() override {}
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;

private:
    const std::shared_ptr<LineBuffer> m_buffer;
};

} // namespace lavenderarch
