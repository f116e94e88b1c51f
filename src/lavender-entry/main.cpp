// lavender-entry: HTTP interface for callers and operators.
#include "lavenderarch/api/daemon_main.h"
#include "lavenderarch/api/entry_daemon.h"
#include "lavenderarch/config/schema_check.h"

int main(int argc, char **argv)
{
    using namespace lavenderarch;
    return runDaemon<EntryDaemon, EntrySettings>(argc, argv, "lavender-entry", entrySchemaText);
}
