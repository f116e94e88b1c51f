// What a CellManager works with.
#pragma once

namespace lavenderarch {

class HttpObjectStore;
class HttpTable;
class HttpWorkers;
class ManifestHolder;
class Metrics;
class PeerGroup;

/// References only; everything outlives the manager.
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
