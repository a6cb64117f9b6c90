// Lease table: which workers may hold a lease, and since when the leases of the others have not been renewed.
//
// The scheduling daemon stores the table before it grants a lease to a worker for the first time. A new term therefore
// waits only for workers in the table that it cannot reach, and for each only until the lease that was renewed last is
// over, no matter how many terms have begun since. Ages are measured on the term clock (election/election.h), which
// continues across terms and never runs ahead.
#pragma once

#include "base/term_start.h"
#include "scheduler/types.h"

#include <QByteArray>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::scheduler {

// What is known of the terms before the current one.
struct TermHistory {
    bool isKnown = false;                    // false: leases may have been granted without a lease table
    Millis clockMs = 0;                      // term clock at the time for which it is given
    std::vector<base::TermStart> terms = {}; // recent terms and the current one, oldest first
};

struct LeaseTable {
    std::int64_t token = 0;                      // of the term that stored the table
    std::map<std::string, std::int64_t> granted; // by worker: token of the term that may renew the lease until its end
    std::map<std::string, Millis> released; // by worker: term clock of the last renewal; no term has renewed it since
    // Granted workers whose lease may have the platform's longest length instead of the granted one, because a call to
    // their former incarnation, which names a time on another clock, may have extended it.
    std::set<std::string> longest;
    // Token of the first of an unbroken series of terms, up to this one, that kept to the rules of run_record.h; 0: the
    // term did not.
    std::int64_t runsRecordedSince = 0;
};

// False for a table that a term before the known ones stored: terms after it may have granted leases without a table.
bool isOfKnownTerm(const LeaseTable& table, const TermHistory& history);

// Latest possible time of the last renewal of the worker's lease, on the term clock; nullopt: it holds no lease of an
// earlier term.
std::optional<Millis> lastRenewalClock(const LeaseTable& table, const TermHistory& history, const std::string& worker);

// JSON; ids of workers by term, release times by worker, ids of workers with longer leases, and the series of terms
// that records runs.
QByteArray encodeLeaseTable(const LeaseTable& table);
std::optional<LeaseTable> decodeLeaseTable(const QByteArray& bytes);

} // namespace lacewing::scheduler
