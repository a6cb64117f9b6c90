// Evaluation of the three kinds of evidence.
#include "cluster/freshness.h"

#include <algorithm>

namespace lacewing::cluster {

namespace {

    using base::TimePoint;

    // A statement counts only while this daemon holds the revision that it names, or a higher one.
    std::optional<TimePoint> validUntil(
        const Freshness& freshness, const std::optional<Freshness::Statement>& statement)
    {
        if (!statement || statement->revision > freshness.revision)
            return std::nullopt;
        return statement->time + freshness.limits.maxAge;
    }

    // Ends the provisional state when a store read after the start of this daemon names no higher revision than held.
    void confirm(Freshness& freshness)
    {
        for (const auto& statement : { freshness.ownRead, freshness.peerRead }) {
            if (statement && statement->time >= freshness.startedAt && statement->revision <= freshness.revision)
                freshness.isProvisional = false;
        }
    }

    // An accept needs the store. A daemon that has no access, holds the revision confirmed and waits for no write of
    // its own has accepted nothing above that revision.
    bool statesOutage(const PeerReport& report, base::Revision revision)
    {
        return !report.hasStoreAccess && !report.isProvisional && !report.hasUnresolvedApply
            && report.revision == revision;
    }

    std::optional<TimePoint> agreementUntil(const Freshness& freshness, TimePoint now)
    {
        if (!freshness.isRecordComplete || freshness.recorded.empty())
            return std::nullopt;
        if (freshness.hasStoreAccess || freshness.isProvisional || freshness.hasUnresolvedApply)
            return std::nullopt;
        TimePoint oldest = now;
        for (const base::DaemonId& daemon : freshness.recorded) {
            if (daemon == freshness.self)
                continue;
            const auto entry = freshness.outageReports.find(daemon);
            if (entry == freshness.outageReports.end() || !statesOutage(entry->second.report, freshness.revision))
                return std::nullopt;
            oldest = std::min(oldest, entry->second.time);
        }
        return oldest + freshness.limits.maxAge;
    }

} // namespace

void onRevision(Freshness& freshness, base::Revision revision)
{
    freshness.revision = std::max(freshness.revision, revision);
    confirm(freshness);
}

void onStoreRead(Freshness& freshness, base::Revision revision, TimePoint sent)
{
    freshness.hasStoreAccess = true;
    if (!freshness.ownRead || sent > freshness.ownRead->time)
        freshness.ownRead = Freshness::Statement { revision, sent };
    confirm(freshness);
}

void onStoreAccess(Freshness& freshness, bool access) { freshness.hasStoreAccess = access; }

void onApply(Freshness& freshness, bool isUnresolved) { freshness.hasUnresolvedApply = isUnresolved; }

void onPeerReport(Freshness& freshness, const PeerReport& report, TimePoint sent)
{
    if (report.daemon == freshness.self)
        return;
    if (report.storeReadAge && !report.isProvisional) {
        const TimePoint time = sent - std::max(*report.storeReadAge, base::Duration::zero());
        if (!freshness.peerRead || time > freshness.peerRead->time)
            freshness.peerRead = Freshness::Statement { report.revision, time };
        confirm(freshness);
    }
    Freshness::OutageReport& known = freshness.outageReports[report.daemon];
    if (report.incarnation < known.report.incarnation)
        return;
    if (report.incarnation == known.report.incarnation && sent < known.time)
        return;
    known = { report, sent };
}

void onRecordedMembers(Freshness& freshness, const std::vector<base::DaemonId>& members, bool isComplete)
{
    freshness.recorded = { members.begin(), members.end() };
    freshness.isRecordComplete = isComplete;
    std::erase_if(
        freshness.outageReports, [&freshness](const auto& entry) { return !freshness.recorded.contains(entry.first); });
}

Evidence evidence(const Freshness& freshness, TimePoint now)
{
    Evidence best;
    if (freshness.revision == 0)
        return best;
    const auto consider = [&best, now](EvidenceKind kind, std::optional<TimePoint> until) {
        if (until && *until >= now && (best.kind == EvidenceKind::None || *until > best.validUntil))
            best = { kind, *until };
    };
    consider(EvidenceKind::OwnRead, validUntil(freshness, freshness.ownRead));
    consider(EvidenceKind::PeerRead, validUntil(freshness, freshness.peerRead));
    consider(EvidenceKind::Agreement, agreementUntil(freshness, now));
    return best;
}

std::optional<base::Duration> storeReadAge(const Freshness& freshness, TimePoint now)
{
    if (!freshness.ownRead || freshness.ownRead->revision > freshness.revision)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(now - freshness.ownRead->time);
}

bool isFresh(const Freshness& freshness, TimePoint now) { return evidence(freshness, now).kind != EvidenceKind::None; }

} // namespace lacewing::cluster
