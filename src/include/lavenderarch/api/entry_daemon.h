// lavender-entry as a library class; the program only reads settings and waits for a signal.
#pragma once

#include "lavenderarch/api/entry_settings.h"

#include <memory>

namespace lavenderarch {

/// Runs one entry. start() listens; it fails when the address cannot be bound. drain() blocks: it
/// releases the cells, refuses new requests and waits for the running ones.
class EntryDaemon
{
public:
    explicit EntryDaemon(const EntrySettings &settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    Status start();
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lavenderarch
