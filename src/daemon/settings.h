// Settings of one daemon: a JSON file, checked against a schema before any service starts.
//
// docs/configuration.md lists all keys; `lacewingd --settings-schema` prints the same table.
#pragma once

#include "base/json.h"
#include "base/result.h"
#include "base/schema.h"
#include "kernel/log.h"

#include <string>
#include <vector>

namespace lacewing::daemon {

// Limits that the platform imposes or guarantees; all times in ms.
struct PlatformBounds {
    int maxLeaseMs = 6000;
    int stopTimeoutMs = 900;
    int impactMs = 4000;
    int statusMs = 120000;
    int graceMs = 6000;
    int configurationMs = 2000;
    int revocationMs = 0; // 0: not enforced
};

// What the platform lets this process use, and the parts of the memory for clients and for accepted jobs.
struct ProcessLimits {
    int memoryMb = 256;
    int descriptors = 4096;
    double clientShare = 0.25;
    double workShare = 0.3;
};

struct Settings {
    // --- Identity ---
    std::string daemon;
    std::string dataCentre;
    double processorShare = 1; // cores
    double linkMbps = 0;       // Mbit/s of the network link in each direction; 0: unknown, treated as fast

    // --- Interfaces, HOST:PORT ---
    std::string callerAddress;    // job requests
    std::string readinessAddress; // readiness probe of the load balancer
    std::string adminAddress;     // operators, metrics; empty: none
    std::string peerAddress;      // other daemons
    std::string storeAddress;
    std::string adviceAddress; // service that approves workers; empty: none

    // --- Behaviour ---
    PlatformBounds bounds;
    ProcessLimits limits;
    int renewMs = 500;
    int commitGapMs = 50;
    int syncMs = 200;
    int workerListMs = 1000;
    int leaseWaitMs = 1000;
    int leaseGapMs = 40;
    kernel::LogLevel logLevel = kernel::LogLevel::Info;
    int logLinesPerSecond = 3000;
};

// Cores that this daemon can put to use as scheduling daemon: its share, or less where its link binds first.
double schedulingShare(const Settings& settings);

base::Schema settingsSchema();

// Parses and checks the text of a settings file. The error lists every fault.
base::Result<Settings, base::InputErrors> parseSettings(const std::string& text, const std::string& file);

// Reads and parses the file. A file that cannot be read yields one error with the code Missing.
base::Result<Settings, base::InputErrors> readSettings(const std::string& file);

} // namespace lacewing::daemon
