// The platform's key-value store as a plain state machine (design section 4).
//
// Invariants: the version of a key rises by one on each write of that key, also across a removal; the revision of the
// store rises by one on each write of any key; a write whose expected version differs changes nothing.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::standin {

struct StoredValue {
    std::uint64_t version = 0;
    std::optional<std::string> value; // nullopt: removed; the version is kept
    std::string operation;            // identity of the last write
    std::uint64_t lease = 0;          // 0: none
};

struct StoreEvent {
    std::uint64_t revision = 0;
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value; // nullopt: removed
};

struct StoreLease {
    base::Duration length {};
    base::TimePoint expiresAt;
};

struct StoreModel {
    // --- Limits ---
    std::size_t valueBytes = 1'000'000; // of one value
    std::size_t eventsKept = 10'000;    // for watches; a watch behind them is told to list again

    // --- State ---
    std::uint64_t revision = 0;
    std::map<std::string, StoredValue> keys;
    std::deque<StoreEvent> events; // newest last
    std::map<std::uint64_t, StoreLease> leases;
    std::uint64_t lastLease = 0;
};

enum class WriteOutcome { Written, Conflict, TooLarge, NoLease };

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Written;
    std::uint64_t version = 0; // new version; with Conflict the current one (0: absent)
    std::string operation;     // with Conflict: of the current version
};

struct WriteRequest {
    std::string key;
    std::string value;
    std::uint64_t expect = 0; // 0: the key must be absent
    std::string operation;
    std::uint64_t lease = 0; // 0: none
};

// Value of a key; nullptr when it is absent.
const StoredValue* findValue(const StoreModel& model, const std::string& key);
WriteResult writeValue(StoreModel& model, const WriteRequest& request);
// Conflict also when the key is absent.
WriteResult removeValue(StoreModel& model, const std::string& key, std::uint64_t expect, const std::string& operation);
// Present keys with the prefix, in order.
std::vector<std::pair<std::string, StoredValue>> listValues(const StoreModel& model, const std::string& prefix);
// Events of keys with the prefix after a revision; nullopt when events after it have been dropped.
std::optional<std::vector<StoreEvent>> eventsAfter(
    const StoreModel& model, const std::string& prefix, std::uint64_t after);
// Drops the kept events, so that every watch must list again.
void forgetEvents(StoreModel& model);

std::uint64_t createLease(StoreModel& model, base::Duration length, base::TimePoint now);
// False when the lease does not exist or has run out.
bool renewLease(StoreModel& model, std::uint64_t lease, base::TimePoint now);
// Removes leases that have run out, with their keys. `all`: whatever their time.
void expireLeases(StoreModel& model, base::TimePoint now, bool all = false);

} // namespace lacewing::standin
