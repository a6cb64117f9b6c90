// Revisions: what the store holds, who wins a race, and which revision a daemon has in force.
//
// The store key `config/current` holds one StoredConfig value. A change is accepted only by compare-and-swap on that
// key, so every accepted revision follows the one that its operator saw. A daemon only ever moves to a higher revision.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "config/diff.h"
#include "config/error.h"
#include "config/merge.h"
#include "config/policy.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lacewing::config {

inline constexpr std::string_view currentKey = "config/current";
inline constexpr std::string_view historyPrefix = "config/history/"; // followed by the revision, 12 digits

// Upper bound of the encoded value. The store accepts 1 MB; the rest is left for the store's own envelope.
inline constexpr std::size_t maximumStoredBytes = 990'000;

// Accepted operations that are remembered, so that a repeated apply is recognised after later changes. One change each
// 20 s at target: 64 operations cover 20 min of repeats.
inline constexpr std::size_t maximumRecentOperations = 64;

struct RecentOperation {
    std::string operation;
    base::Revision revision = 0;
    std::uint64_t filesHash = 0; // distinguishes a repeat from an identity that was used for other files

    bool operator==(const RecentOperation&) const = default;
};

// The value of `config/current`. Revision 0 with no files stands for a store without configuration.
struct StoredConfig {
    base::Revision revision = 0;
    std::string author;
    std::int64_t timeMs = 0; // wall clock, since the Unix epoch
    std::string comment;
    std::string operation; // identity of the apply that wrote this revision
    Files files;
    std::vector<RecentOperation> recent; // oldest first, the current operation included

    bool operator==(const StoredConfig&) const = default;
};

struct Proposal {
    base::Revision expectRevision = 0; // the revision that the operator saw
    std::string author;
    std::string comment;
    std::string operation;
    Files files;
};

struct Accepted {
    enum class Outcome {
        New,       // `next` must be written by compare-and-swap
        Repeated,  // the same operation was accepted before; nothing to write
        Unchanged, // the files equal the current ones; nothing to write
    };

    Outcome outcome = Outcome::New;
    base::Revision revision = 0; // revision that holds the proposal
    StoredConfig next;           // the value in force after the decision
};

// The operator saw another revision than the current one.
struct Conflict {
    base::Revision expected = 0;
    base::Revision current = 0;
    std::string author; // winner
    std::int64_t timeMs = 0;
    std::string comment;
};

// The files do not form a valid configuration.
struct Refused {
    ConfigErrors errors;
};

using Decision = std::variant<Accepted, Conflict, Refused>;

std::string_view nameOf(Accepted::Outcome outcome);

// Hash of names and texts; equal sets have equal hashes.
std::uint64_t filesHash(const Files& files);

// Decides on a proposal against the current value. The caller writes `next` by compare-and-swap on the store version
// that it read with `current`; when that fails it reads again and decides again.
Decision decide(const StoredConfig& current, const Proposal& proposal, std::int64_t nowMs);

// `AUTHOR changed the configuration to revision N at TIME ("COMMENT"); you saw revision M`.
std::string describe(const Conflict& conflict);

// Checks a set of files as decide does, without a current value: merge, policy and encoded size.
base::Result<Policy, ConfigErrors> checkProposal(const Files& files);

// JSON text of the value; fails when it exceeds maximumStoredBytes.
base::Result<std::string, ConfigError> encode(const StoredConfig& stored);
base::Result<StoredConfig, ConfigError> decodeStored(std::string_view text);

// One accepted revision for the history. The files are not part of it; `changes` is cut to 200 entries.
struct HistoryEntry {
    base::Revision revision = 0;
    std::string author;
    std::int64_t timeMs = 0;
    std::string comment;
    std::string operation;
    std::vector<Change> changes;
    std::size_t totalChanges = 0; // before the cut

    bool operator==(const HistoryEntry&) const = default;
};

HistoryEntry historyEntry(const StoredConfig& before, const StoredConfig& after);
std::string historyKey(base::Revision revision);
std::string encode(const HistoryEntry& entry);
base::Result<HistoryEntry, ConfigError> decodeHistoryEntry(std::string_view text);

// The configuration that a daemon has in force.
//
// A daemon that starts while the store is unavailable takes the highest revision of its peers as provisional. It is
// confirmed by the store, or by `confirm`. A confirmed daemon stays confirmed when a peer brings a higher revision,
// because that revision is newer than the confirmed one. A higher revision that cannot be read ends the confirmation:
// it may take a data centre out.
class ActiveConfig {
public:
    enum class Source { Store, Peer };
    enum class Outcome {
        Adopted,   // now in force
        Confirmed, // same revision as before, now confirmed
        Same,      // nothing changed
        Older,     // lower revision than the held one; ignored
        Mismatch,  // same revision with other content; ignored unless it replaces a provisional value by the store's
        Invalid,   // higher revision whose content forms no policy; the held one stays, without confirmation
    };

    // Offers a configuration. Revision 0 (empty store) is never adopted.
    Outcome offer(const StoredConfig& stored, Source source);

    // Evidence that `revision` is the current one. No effect for a revision other than the held one.
    void confirm(base::Revision revision);

    // False until the first configuration is adopted.
    bool isReady() const { return m_policy != nullptr; }
    bool isConfirmed() const { return m_isConfirmed; }
    base::Revision revision() const { return m_stored.revision; }
    const StoredConfig& stored() const { return m_stored; }
    std::shared_ptr<const Policy> policy() const { return m_policy; } // null until ready

private:
    StoredConfig m_stored;
    std::shared_ptr<const Policy> m_policy; // shared: a request keeps the policy that it started with
    bool m_isConfirmed = false;             // false while the held revision comes from peers only, after start
    base::Revision m_highestInvalid = 0;    // highest revision that was Invalid; above the held one it blocks confirm
};

std::string_view nameOf(ActiveConfig::Outcome outcome);

} // namespace lacewing::config
