// Objects that a CellManager uses.
#pragma once

namespace lavenderarch {

class HttpObjectStore;
class HttpTable;
class HttpWorkers;
class ManifestHolder;
class Metrics;
class PeerGroup;

/// Holds references only; the referenced objects outlive the manager.
struct CellManagerDependencies
{
    HttpTable &table;
    HttpObjectStore &objects;
    HttpWorkers &workers;
    ManifestHolder &manifest;
    PeerGroup &peers;
    Metrics &metrics;
};

} // namespace lavenderarch
