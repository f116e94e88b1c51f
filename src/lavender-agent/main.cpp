// lavender-agent: runs alongside one minion and limits its concurrent requests to its slots.
#include "lavenderarch/api/agent_daemon.h"
#include "lavenderarch/api/daemon_main.h"
#include "lavenderarch/config/schema_check.h"

int main(int argc, char **argv)
{
    using namespace lavenderarch;
    return runDaemon<AgentDaemon, AgentSettings>(argc, argv, "lavender-agent", agentSchemaText);
}
