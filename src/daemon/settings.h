// Settings of one daemon process: identity, addresses, platform interfaces, limits.
//
// They are read once at start from one JSON file. The operators' policy, which changes while daemons run, is not here;
// it lives in the store (src/config).
#pragma once

#include "base/ids.h"
#include "base/json.h"
#include "base/result.h"
#include "base/schema.h"
#include "kernel/log.h"

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::daemon {

struct ListenAddress {
    std::string address = "127.0.0.1"; // IP address
    std::uint16_t port = 0;
};

// Another daemon that is asked before the instance list has been read.
struct SeedPeer {
    base::DaemonId daemon;
    base::DataCentreId dataCentre;
    std::string peerAddress; // HOST:PORT of its peer interface
};

struct HttpSettings {
    ListenAddress listen;
    std::int64_t headerBytes = 16384;
    std::int64_t bodyBytes = 1048576;
    std::int64_t serviceBodyBytes = 8388608;
    int connections = 1000;
    int headerTimeoutMs = 5000;
    int bodyTimeoutMs = 15000;
    int idleTimeoutMs = 30000;
};

struct PlatformSettings {
    std::string storeUrl;     // http://ADDRESS:PORT
    std::string instancesUrl; // http://ADDRESS:PORT
    int storeTimeoutMs = 2000;
    int instancesIntervalMs = 1000;
    double storeWritesPerSecond = 20; // budget of this daemon
    double storeReadsPerSecond = 40;  // budget of this daemon; a waiting watch counts as one read
};

struct BatchSettings {
    int taskLeaseMs = 30000;
    int commitIntervalMs = 200;
    int ownerSilenceMs = 5000; // silence after which a shard is taken over
};

struct Settings {
    // --- Identity ---
    base::DaemonId daemon;
    base::DataCentreId dataCentre;

    // --- Interfaces ---
    HttpSettings http;
    ListenAddress peer;
    std::vector<SeedPeer> seeds;
    PlatformSettings platform;

    // --- Behaviour ---
    BatchSettings batch;
    int drainTimeoutMs = 30000;
    int longestPollMs = 30000; // bound of one long poll for events
    kernel::LogLevel logLevel = kernel::LogLevel::Info;
};

base::Schema settingsSchema();

// Parses and checks the text of a settings file; returns every fault.
base::Result<Settings, base::InputErrors> parseSettings(const std::string& text, const std::string& file);

// Reads the file and parses it. A file that cannot be read is one Missing fault.
base::Result<Settings, base::InputErrors> readSettings(const std::string& file);

} // namespace lacewing::daemon
