// Settings of the stand-in: a JSON file, the command line, or both (the command line wins).
#pragma once

#include "base/json.h"
#include "base/result.h"
#include "base/schema.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::standin {

// A daemon that the instance list names; the stand-in does not start it.
struct EntrySettings {
    std::string id;
    std::string dataCentre;
    std::string address;
    std::uint16_t port = 0;
};

struct StandinSettings {
    // --- Addresses ---
    std::string address = "127.0.0.1"; // loopback only
    int basePort = 0;                  // admin and instance list; then store, workers, endpoints; 0: by the system

    // --- Sizes ---
    std::vector<std::string> dataCentres { "dc1", "dc2", "dc3" };
    int racks = 2;     // in each data centre
    int workers = 6;   // spread over data centres and racks in turn
    int endpoints = 6; // likewise
    std::vector<EntrySettings> entries;

    // --- Workers ---
    int cpuMilli = 16000;
    int memoryMb = 60000;
    int accelerators = 0;
    int reportLagMs = 2000; // age of the newest visible usage report
    int checkpointMs = 50;  // time that a checkpoint takes

    // --- Endpoints ---
    std::string service; // empty: any
    int slots = 8;
    int connections = 64;
    int serviceMs = 5;

    // --- Platform ---
    int storeDelayMs = 1;
    int instancesLagMs = 0; // age of the instance list
};

const base::Schema& settingsSchema();
// Defaults for absent keys; every fault is reported.
base::Result<StandinSettings, base::InputErrors> parseSettings(std::string_view text, std::string_view file);

} // namespace lacewing::standin
