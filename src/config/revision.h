// Configuration revisions: the stored value, optimistic concurrency control between operators, and the revision that is
// active in a daemon.
//
// The store key `config/current` holds one StoredConfig. A change is accepted only by compare-and-swap on that key, so
// every accepted revision is based on the one that its operator saw. A daemon never moves to a lower revision.
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

// Upper bound of the encoded value. The store accepts 1 MB; the difference is reserved for the store's own envelope.
inline constexpr std::size_t maximumStoredBytes = 990'000;

// Number of accepted operations kept in the stored value, so that a retried apply is recognised after later changes. At
// the target rate of one change each 20 s, 64 operations cover retries for 20 min.
inline constexpr std::size_t maximumRecentOperations = 64;

struct RecentOperation {
    std::string operation;
    base::Revision revision = 0;
    std::uint64_t filesHash = 0; // distinguishes a retry from an operation ID that is reused for other files

    bool operator==(const RecentOperation&) const = default;
};

// The value of `config/current`. Revision 0 without files represents a store that has no configuration.
struct StoredConfig {
    base::Revision revision = 0;
    std::string author;
    std::int64_t timeMs = 0; // wall clock, since the Unix epoch
    std::string comment;
    std::string operation; // ID of the apply that wrote this revision
    Files files;
    std::vector<RecentOperation> recent; // oldest first, the current operation included

    bool operator==(const StoredConfig&) const = default;
};

// A change that an operator asks for.
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
        Repeated,  // retry of an operation that was accepted before; nothing to write
        Unchanged, // the files equal the current ones; nothing to write
    };

    Outcome outcome = Outcome::New;
    base::Revision revision = 0; // revision that holds the proposal
    StoredConfig next;           // the value in force after the decision
};

// The proposal is based on another revision than the current one.
struct Conflict {
    base::Revision expected = 0;
    base::Revision current = 0;
    std::string author; // author of the current revision
    std::int64_t timeMs = 0;
    std::string comment;
};

// The files do not form a valid configuration.
struct Refused {
    ConfigErrors errors;
};

using Decision = std::variant<Accepted, Conflict, Refused>;

std::string_view nameOf(Accepted::Outcome outcome);

// Hash of the file names and texts; equal sets have equal hashes.
std::uint64_t filesHash(const Files& files);

// Checks a proposal against the current value. The caller writes `next` by compare-and-swap on the store version that
// it read with `current`; if the swap fails, it reads the value and calls `decide` again.
Decision decide(const StoredConfig& current, const Proposal& proposal, std::int64_t nowMs);

// `AUTHOR changed the configuration to revision N at TIME ("COMMENT"); you saw revision M`.
std::string describe(const Conflict& conflict);

// Runs the checks of `decide` that need no current value: merge, policy and encoded size.
base::Result<Policy, ConfigErrors> checkProposal(const Files& files);

// JSON text of the value. Fails if it exceeds maximumStoredBytes.
base::Result<std::string, ConfigError> encode(const StoredConfig& stored);
base::Result<StoredConfig, ConfigError> decodeStored(std::string_view text);

// History record of one accepted revision. It does not contain the files; `changes` is truncated to 200 entries.
struct HistoryEntry {
    base::Revision revision = 0;
    std::string author;
    std::int64_t timeMs = 0;
    std::string comment;
    std::string operation;
    std::vector<Change> changes;
    std::size_t totalChanges = 0; // before truncation

    bool operator==(const HistoryEntry&) const = default;
};

HistoryEntry historyEntry(const StoredConfig& before, const StoredConfig& after);
std::string historyKey(base::Revision revision);
std::string encode(const HistoryEntry& entry);
base::Result<HistoryEntry, ConfigError> decodeHistoryEntry(std::string_view text);

// The configuration that is active in a daemon.
//
// A daemon that starts while the store is unavailable uses the highest revision of its peers as provisional. The store
// or `confirm` confirms it. A confirmed daemon stays confirmed when a peer sends a higher revision, because that
// revision is newer than the confirmed one. A higher revision that forms no valid policy ends the confirmation, because
// it may take a data centre out.
class ActiveConfig {
public:
    enum class Source { Store, Peer };
    enum class Outcome {
        Adopted,   // now active
        Confirmed, // same revision as before, now confirmed by the store
        Same,      // nothing changed
        Older,     // revision 0 or lower than the active one; ignored
        Mismatch,  // same revision with other content; ignored, but the store's value replaces a provisional one
        Invalid,   // content forms no valid policy; the active revision stays and becomes unconfirmed
    };

    // Adopts the configuration if its revision is newer. Revision 0 (empty store) is never adopted.
    Outcome offer(const StoredConfig& stored, Source source);

    // Reports that `revision` is the current one. No effect for a revision other than the active one.
    void confirm(base::Revision revision);

    // False until the first configuration is adopted.
    bool isReady() const { return m_policy != nullptr; }
    bool isConfirmed() const { return m_isConfirmed; }
    base::Revision revision() const { return m_stored.revision; }
    const StoredConfig& stored() const { return m_stored; }
    std::shared_ptr<const Policy> policy() const { return m_policy; } // null until ready

private:
    StoredConfig m_stored;
    std::shared_ptr<const Policy> m_policy; // shared, because a request keeps the policy that it started with
    bool m_isConfirmed = false;             // false after start while the active revision was received from peers only
    base::Revision m_highestInvalid = 0;    // highest revision that was Invalid; no revision up to it can be confirmed
};

std::string_view nameOf(ActiveConfig::Outcome outcome);

} // namespace lacewing::config
