// lavender-agent as a library class; the program only reads settings and waits for a signal.
#pragma once

#include "lavenderarch/api/agent_settings.h"

#include <memory>

namespace lavenderarch {

/// Runs one agent for its minion. start() listens and begins to announce the endpoint; it fails
/// when the address cannot be bound. drain() blocks: it announces the endpoint as draining,
/// waits for the admitted requests and announces it as gone.
class AgentDaemon
{
public:
    explicit AgentDaemon(const AgentSettings &settings);
    ~AgentDaemon();
    AgentDaemon(const AgentDaemon &) = delete;
    AgentDaemon &operator=(const AgentDaemon &) = delete;

    Status start();
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lavenderarch
