// Rules for taking over, renewing and resigning a term.
#include "election/election.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace lacewing::election {

QByteArray encodeRecord(const Record& record)
{
    QJsonArray members;
    for (const std::string& member : record.members)
        members.append(QString::fromStdString(member));
    QJsonArray terms;
    for (const base::TermStart& term : record.terms)
        terms.append(QJsonArray { static_cast<qint64>(term.token), static_cast<qint64>(term.formerEndMs) });
    QJsonObject json { { "leader", QString::fromStdString(record.leader) },
        { "incarnation", static_cast<qint64>(record.incarnation) },
        { "peerAddress", QString::fromStdString(record.peerAddress) },
        { "sequence", static_cast<qint64>(record.sequence) }, { "token", static_cast<qint64>(record.token) },
        { "isResigned", record.isResigned }, { "successor", QString::fromStdString(record.successor) },
        { "members", members }, { "terms", terms }, { "largestShare", record.largestShare } };
    if (record.clockMs)
        json["clockMs"] = static_cast<qint64>(*record.clockMs);
    if (record.token == 0)
        json["formerEndMs"] = static_cast<qint64>(record.formerEndMs);
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<Record> decodeRecord(const QByteArray& bytes)
{
    const QJsonDocument document = QJsonDocument::fromJson(bytes);
    const QJsonObject json = document.object();
    if (!document.isObject() || !json["leader"].isString())
        return std::nullopt;
    Record record;
    record.leader = json["leader"].toString().toStdString();
    record.incarnation = json["incarnation"].toInteger();
    record.peerAddress = json["peerAddress"].toString().toStdString();
    record.sequence = json["sequence"].toInteger();
    record.token = json["token"].toInteger();
    record.isResigned = json["isResigned"].toBool();
    record.successor = json["successor"].toString().toStdString();
    for (const QJsonValue member : json["members"].toArray())
        record.members.insert(member.toString().toStdString());
    if (json["clockMs"].isDouble())
        record.clockMs = json["clockMs"].toInteger();
    record.formerEndMs = json["formerEndMs"].toInteger();
    for (const QJsonValue term : json["terms"].toArray())
        record.terms.push_back({ term[0].toInteger(), term[1].toInteger() });
    record.largestShare = json["largestShare"].toDouble();
    return record;
}

namespace {

    constexpr std::size_t maxTermStarts = 16; // in the record; without older ones, terms seem to have ended later
    // Term clock before the first term, above the length of any lease: no older term can have granted one.
    constexpr Millis firstClockMs = 3600000;
    // Of the time that a clock measures, which has passed even if it runs fast. Records would otherwise no longer take
    // back what a follower's clock gains in a long term.
    constexpr double trueTimeShare = 0.95;
    constexpr double strongerRatio = 1.25; // of processor time; smaller differences are not worth a delay

    // Delay of this daemon's take-over in favour of clearly stronger ones. They may see a change later than this one
    // when the store has just come back.
    Millis takeoverDelay(const Election& election)
    {
        const Limits& limits = election.limits;
        if (election.largestShare <= strongerRatio * election.processorShare)
            return 0;
        const bool isSeenAfterFailure = election.storeRegainedAt > 0 && election.changedAt >= election.storeRegainedAt
            && election.changedAt < election.storeRegainedAt + limits.weakerRegainDelayMs;
        return isSeenAfterFailure ? limits.weakerRegainDelayMs : limits.weakerDelayMs;
    }

    // When a follower may take over: `delay` after `from`, and `regainDelay` after the store answers again. Without a
    // delay it does not wait for the store.
    struct Vacancy {
        Millis from = 0;
        Millis delay = 0;
        Millis regainDelay = 0;
    };

    // A named successor that fails to reach the store competes like the others.
    bool hasReachedStoreSince(const Election& election, Millis since)
    {
        return !election.isStoreFailing && election.storeRegainedAt <= since;
    }

    // A leader whose record names nobody else acts by the store alone.
    bool hasOtherVoters(const Record& record) { return record.members.size() > 1; }

    // Whether the leader of the record may act without the store and without this daemon's acknowledgements.
    bool isStranger(const Election& election)
    {
        const std::optional<Record>& record = election.record;
        if (!record || record->isResigned || record->leader == election.self)
            return false;
        return election.voterRevision != election.revision;
    }

    // The record at the revision is the one that this daemon knows.
    void observeVoters(Election& election, const std::optional<Record>& record, std::int64_t revision)
    {
        const bool isVoter = record && (!hasOtherVoters(*record) || record->members.count(election.self) > 0);
        if (isVoter && revision == election.revision)
            election.voterRevision = revision;
    }

    // How long the leader may act after its last renewal was observed, unless this daemon has acknowledged a reply
    // since.
    Millis formerLeaderLimit(const Election& election)
    {
        return isStranger(election) ? election.limits.maxWithoutStoreMs : election.limits.validityMs;
    }

    // The same with a margin for clocks, before this daemon may take over.
    Millis takeoverWait(const Election& election)
    {
        return isStranger(election) ? election.limits.strangerTakeoverMs : election.limits.takeoverMs;
    }

    std::optional<Vacancy> findVacancy(const Election& election, bool hasNoContact)
    {
        const std::optional<Record>& record = election.record;
        const Limits& limits = election.limits;
        if (!record) {
            const double missing = 1 - std::min(1.0, election.processorShare);
            const auto delay = static_cast<Millis>(missing * static_cast<double>(limits.firstTermDelayMs));
            return Vacancy { election.changedAt, delay, delay };
        }
        const Millis delay = takeoverDelay(election);
        const Millis regainDelay = delay > 0 ? limits.weakerRegainDelayMs : 0;
        if (election.vacantFrom > 0 && election.isNamed && hasReachedStoreSince(election, election.vacantFrom))
            return Vacancy { election.vacantFrom };
        if (election.vacantFrom > 0)
            return Vacancy { election.vacantFrom, delay, regainDelay };
        if (record->leader == election.self && record->incarnation != election.incarnation)
            return Vacancy { election.changedAt, delay, regainDelay };
        if (record->isResigned && record->successor == election.self
            && hasReachedStoreSince(election, election.changedAt))
            return Vacancy { election.changedAt };
        if (record->isResigned) {
            const bool hasOtherSuccessor = !record->successor.empty() && record->successor != election.self;
            const Millis forSuccessor = hasOtherSuccessor ? limits.successorTimeoutMs : 0;
            return Vacancy { election.changedAt + forSuccessor, delay, regainDelay };
        }
        if (!hasNoContact)
            return std::nullopt;
        const Millis from
            = std::max(election.changedAt + takeoverWait(election), election.leaderActedAt + limits.takeoverMs);
        return Vacancy { from, delay, regainDelay };
    }

    // Waits for the strongest daemons first, and only while the store is known to answer. Reads the record meanwhile: a
    // store that has stopped answering the stronger ones is noticed before the delay is over.
    Action takeOverAfterDelay(const Election& election, const Vacancy& vacancy, Millis now)
    {
        const Limits& limits = election.limits;
        const Millis answerTimeout = vacancy.regainDelay + limits.contactTimeoutMs;
        const bool isStoreAnswering = !election.isStoreFailing && now - election.storeAnsweredAt <= answerTimeout;
        const bool hasWaited = now >= vacancy.from + vacancy.delay
            && (election.storeRegainedAt == 0 || now >= election.storeRegainedAt + vacancy.regainDelay);
        if (isStoreAnswering && hasWaited)
            return now - election.lastAttemptAt >= limits.pollMs ? Action::TakeOver : Action::None;
        return now - election.polledAt >= limits.pollMs ? Action::ReadRecord : Action::None;
    }

} // namespace

namespace {

    bool isPresent(const Limits& limits, const Peer& peer, Millis now)
    {
        return now - peer.lastMessageAt <= (peer.isStopping ? limits.stoppedTimeoutMs : limits.peerTimeoutMs);
    }

    // A daemon that has joined is a stranger until a stored write names it.
    bool hasUnnamedPeer(const Election& election, Millis now)
    {
        return std::any_of(election.peers.begin(), election.peers.end(), [&](const auto& entry) {
            return election.voters.count(entry.first) == 0 && !entry.second.isStopping
                && isPresent(election.limits, entry.second, now);
        });
    }

    Millis renewalPeriod(const Election& election, Millis now)
    {
        if (now >= validUntil(election, now))
            return election.limits.pollMs;
        return hasUnnamedPeer(election, now) ? election.limits.namingMs : election.limits.renewMs;
    }

} // namespace

Millis termClock(const Election& election, Millis now) { return election.clockMs + (now - election.clockAt); }

Action nextAction(const Election& election, Millis now)
{
    const Limits& limits = election.limits;
    if (election.role == Role::Leader) {
        return now - election.lastAttemptAt >= renewalPeriod(election, now) ? Action::Renew : Action::None;
    }
    const bool hasNoContact = now - election.lastContactAt >= limits.contactTimeoutMs || election.lastContactAt == 0;
    if (election.isRecordKnown && !election.isStopping) {
        const std::optional<Vacancy> vacancy = findVacancy(election, hasNoContact);
        const bool isVacant = vacancy && now >= vacancy->from;
        if (isVacant && vacancy->delay > 0)
            return takeOverAfterDelay(election, *vacancy, now);
        if (isVacant && now - election.lastAttemptAt >= limits.pollMs)
            return Action::TakeOver;
    }
    if ((hasNoContact || !election.isRecordKnown) && now - election.polledAt >= limits.pollMs)
        return Action::ReadRecord;
    return Action::None;
}

namespace {

    // Term clock at which the former leader had stopped acting at the latest. Once its right to act has lapsed, only
    // another renewal, which changes the revision, restores it.
    Millis formerTermEnd(const Election& election)
    {
        if (election.leaderLapsedAt > 0 && election.leaderLapsedRevision == election.revision)
            return termClock(election, election.leaderLapsedAt);
        const Millis end = std::max(election.renewedClockMs + formerLeaderLimit(election),
            termClock(election, election.leaderActedAt) + election.limits.validityMs);
        return election.vacantFrom > 0 ? std::min(end, termClock(election, election.vacantFrom)) : end;
    }

} // namespace

RecordWrite beginWrite(Election& election, bool isResigning, Millis now)
{
    const bool isLeader = election.role == Role::Leader;
    election.lastAttemptAt = now;
    RecordWrite write;
    write.kind = !isLeader ? WriteKind::TakeOver : isResigning ? WriteKind::Resignation : WriteKind::Renewal;
    write.token = isLeader ? election.token : 0;
    write.sentAt = now;
    Record& record = write.record;
    record.leader = election.self;
    record.incarnation = election.incarnation;
    record.peerAddress = election.peerAddress;
    record.sequence = ++election.sequence;
    record.token = write.token;
    record.isResigned = write.kind == WriteKind::Resignation;
    if (record.isResigned)
        record.successor = election.chosenSuccessor.empty() ? preferredSuccessor(election, now).value_or(std::string())
                                                            : election.chosenSuccessor;
    record.members = isLeader ? knownMembers(election, now) : election.members;
    record.members.insert(election.self);
    if (isLeader) {
        election.formerValidUntil = std::max(election.formerValidUntil, std::min(now, validUntil(election, now)));
        election.voters.insert(record.members.begin(), record.members.end());
        election.isAlone = election.isAlone || !hasOtherVoters(record);
    }
    record.clockMs = election.hasClock ? termClock(election, now) : 0;
    if (election.hasClock && write.kind == WriteKind::TakeOver)
        record.formerEndMs = std::min(termClock(election, now), formerTermEnd(election));
    record.terms = election.terms;
    record.largestShare = largestKnownShare(election, now);
    return write;
}

std::set<std::string> knownMembers(const Election& election, Millis now)
{
    std::set<std::string> members { election.self };
    for (const auto& [name, peer] : election.peers) {
        if (isPresent(election.limits, peer, now))
            members.insert(name);
    }
    return members;
}

namespace {

    // Token of the term that a stored record belongs to.
    std::int64_t tokenOf(const Record& record, std::int64_t revision)
    {
        return record.token != 0 ? record.token : revision;
    }

    // Continues the term clock from a record.
    void readClock(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now)
    {
        const bool isAbsent = !record && revision == 0; // otherwise it does not decode
        const std::int64_t token = record ? tokenOf(*record, revision) : 0;
        const bool isSameTerm = election.hasClock && token != 0 && token == election.clockToken;
        const auto measured = static_cast<double>(now - election.clockAt);
        const Millis own = election.clockMs + static_cast<Millis>(measured * trueTimeShare);
        election.hasClock = isAbsent || (record && record->clockMs.has_value());
        election.clockMs = isAbsent ? firstClockMs : record ? record->clockMs.value_or(0) : 0;
        election.renewedClockMs = election.clockMs;
        if (election.hasClock && isSameTerm)
            election.clockMs = std::max(election.clockMs, own);
        election.clockAt = now;
        election.clockToken = token;
        election.terms = election.hasClock && record ? record->terms : std::vector<base::TermStart> {};
        if (election.hasClock && record && record->token == 0)
            election.terms.push_back({ revision, record->formerEndMs });
    }

} // namespace

double largestKnownShare(const Election& election, Millis now)
{
    double largest = 0;
    bool isComplete = election.role == Role::Leader;
    for (const auto& [name, peer] : election.peers) {
        if (peer.isStopping || now - peer.lastMessageAt > election.limits.peerTimeoutMs)
            continue;
        largest = std::max(largest, peer.processorShare);
        isComplete = isComplete && peer.processorShare > 0;
    }
    return isComplete ? largest : std::max(largest, election.largestShare);
}

void observeStore(Election& election, bool hasAnswered, Millis now)
{
    if (hasAnswered && election.isStoreFailing)
        election.storeRegainedAt = now;
    if (hasAnswered)
        election.storeAnsweredAt = now;
    election.isStoreFailing = !hasAnswered;
}

void observe(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now)
{
    if (!election.isRecordKnown || revision > election.revision || (revision == 0 && election.revision != 0)) {
        election.vacantFrom = 0; // the record was written since; the same process may lead again
        election.record = record;
        election.revision = revision;
        election.changedAt = now;
        readClock(election, record, revision, now);
        if (record && record->isResigned)
            election.lastAttemptAt = 0; // an attempt before the resignation does not delay the next one
        if (record)
            election.members.insert(record->members.begin(), record->members.end());
        if (record && record->largestShare > 0)
            election.largestShare = record->largestShare;
    }
    observeVoters(election, record, revision);
    election.isRecordKnown = true;
}

bool isVoter(const Election& election, const std::string& name)
{
    return election.role == Role::Leader && election.record && election.record->members.count(name) > 0;
}

bool observeContact(Election& election, const LeaderState& leader, const std::set<std::string>& members, Millis now)
{
    if (leader.token != 0 && leader.token < election.clockToken)
        return false;
    if (leader.lapsedMs <= 0)
        election.leaderActedAt = now;
    election.leaderLapsedAt = leader.lapsedMs > 0 ? now - leader.lapsedMs : 0;
    election.leaderLapsedRevision = leader.revision;
    if (election.hasClock && leader.clockMs) {
        election.clockMs = *leader.clockMs;
        election.clockAt = now;
        election.clockToken = leader.token;
    }
    election.members = members;
    election.lastContactAt = now;
    election.vacantFrom = 0;
    if (leader.revision > election.revision) {
        election.revision = leader.revision;
        election.changedAt = now;
        election.renewedClockMs = termClock(election, now);
        if (election.record)
            election.record->isResigned = false; // it leads again
    }
    if (leader.isVoter && leader.revision == election.revision)
        election.voterRevision = leader.revision;
    return true;
}

bool isLedBy(const Election& election, const std::string& leader, std::int64_t incarnation)
{
    return election.record && election.record->leader == leader && election.record->incarnation == incarnation;
}

void observeLeaderGone(Election& election, const std::string& leader, std::int64_t incarnation, Millis now)
{
    if (!isLedBy(election, leader, incarnation) || election.vacantFrom > 0)
        return;
    election.vacantFrom = now;
    election.isNamed = false;
}

void observeHandOver(Election& election, const std::string& leader, std::int64_t incarnation, Millis now)
{
    if (!isLedBy(election, leader, incarnation))
        return;
    election.vacantFrom = now;
    election.isNamed = true;
}

namespace {

    // Begins the term of a take-over that the store holds at the revision.
    void beginTerm(Election& election, const Record& record, std::int64_t revision, Millis now)
    {
        election.role = Role::Leader;
        election.knowsFormerTerms = election.hasClock;
        if (!election.hasClock) {
            election.hasClock = true;
            election.clockMs = record.clockMs.value_or(0);
            election.clockAt = now;
        }
        election.clockToken = revision;
        election.terms.push_back({ revision, record.formerEndMs });
        if (election.terms.size() > maxTermStarts)
            election.terms.erase(election.terms.begin());
        election.formerToken = election.record && election.record->isResigned ? election.record->token : 0;
        election.token = revision;
        if (!election.lastSuccessor.empty() && now - election.resignedAt < election.limits.peerTimeoutMs)
            election.failedSuccessors[election.lastSuccessor] = now;
        election.lastSuccessor.clear();
        election.peers.clear();
        // Each of them may take over, whether it has sent a message in this term or not.
        for (const std::string& member : election.members) {
            if (member != election.self)
                election.peers[member].lastMessageAt = now;
        }
    }

    // The store holds this record of the term; other writes that were sent before can no longer be carried out.
    void applyStoredVoters(Election& election, const Record& record)
    {
        election.voters = record.members;
        election.isAlone = !hasOtherVoters(record);
    }

    // The store holds this daemon's record of its current or just ended term.
    void applyOwnRecord(Election& election, const Record& record, std::int64_t revision, Millis sentAt, Millis now)
    {
        election.members = knownMembers(election, now);
        applyStoredVoters(election, record);
        election.record = record;
        election.revision = revision;
        election.changedAt = now;
        election.renewedClockMs = termClock(election, now);
        election.isRecordKnown = true;
        election.vacantFrom = 0;
        election.renewSentAt = sentAt;
        election.hasLapsed = false;
    }

    // The answer to the write concerns this daemon as it is now: a follower that takes over, or the leader of the term
    // that is renewed or resigned.
    bool isCurrent(const Election& election, const RecordWrite& write)
    {
        if (write.kind == WriteKind::TakeOver)
            return election.role == Role::Follower;
        return election.role == Role::Leader && election.token == write.token;
    }

} // namespace

WriteEffect applyWritten(Election& election, const RecordWrite& write, std::int64_t revision, Millis now)
{
    const bool isNewest = revision > election.revision;
    if (write.kind == WriteKind::Resignation) {
        election.lastSuccessor = write.record.successor;
        election.resignedAt = now;
    }
    if (!isCurrent(election, write) || !isNewest) {
        observe(election, write.record, revision, now);
        return WriteEffect::Outdated;
    }
    if (write.kind == WriteKind::TakeOver)
        beginTerm(election, write.record, revision, now);
    else if (write.kind == WriteKind::Resignation)
        stepDown(election);
    applyOwnRecord(election, write.record, revision, write.sentAt, now);
    switch (write.kind) {
    case WriteKind::TakeOver:
        return WriteEffect::Elected;
    case WriteKind::Renewal:
        return WriteEffect::Renewed;
    case WriteKind::Resignation:
        break;
    }
    return WriteEffect::Resigned;
}

namespace {

    // True: the record is this process's take-over, whose answer was lost, and nothing newer is known. It leads now.
    // Does not extend the validity: other daemons measure takeoverMs from the write that is stored, and may have been
    // told by this one, before it knew, that it does not lead.
    bool adoptTakeOver(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now)
    {
        const bool isOwn = record && record->leader == election.self && record->incarnation == election.incarnation;
        if (election.role != Role::Follower || !isOwn || record->token != 0 || revision <= election.revision)
            return false;
        election.lastAttemptAt = 0; // renew at once
        beginTerm(election, *record, revision, now);
        applyOwnRecord(election, *record, revision, 0, now);
        return true;
    }

} // namespace

WriteConflict applyConflict(Election& election, const RecordWrite& write, const std::optional<Record>& record,
    std::int64_t revision, Millis now)
{
    if (write.kind == WriteKind::TakeOver)
        return adoptTakeOver(election, record, revision, now) ? WriteConflict::EarlierTakeOver
                                                              : WriteConflict::OtherLeader;
    const bool isOfThisTerm
        = isCurrent(election, write) && record && !record->isResigned && tokenOf(*record, revision) == election.token;
    if (!isOfThisTerm)
        return WriteConflict::OtherLeader;
    election.lastAttemptAt = 0; // renew at once; the stored renewal does not extend the validity
    applyStoredVoters(election, *record);
    election.record = record;
    election.revision = revision;
    return WriteConflict::EarlierRenewal;
}

bool applyRead(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now)
{
    if (!election.isStopping && adoptTakeOver(election, record, revision, now))
        return true;
    observe(election, record, revision, now);
    return false;
}

void stepDown(Election& election)
{
    election.role = Role::Follower;
    election.token = 0;
    election.chosenSuccessor.clear();
    election.lastContactAt = 0;
    election.isRecordKnown = false; // the record must be read again before a take-over
    election.clockToken = 0;        // that record may be older than the acknowledgements by which this daemon acted
    election.peers.clear();
    election.voters.clear();
    election.isAlone = true;
    election.formerValidUntil = 0;
}

Millis validUntil(const Election& election, Millis now)
{
    if (election.role != Role::Leader)
        return 0;
    const Millis byStore = election.renewSentAt + election.limits.validityMs;
    if (byStore > now || election.hasLapsed || election.isAlone)
        return byStore;
    Millis byPeers = election.renewSentAt + election.limits.maxWithoutStoreMs;
    for (const std::string& name : election.voters) {
        if (name == election.self)
            continue;
        const auto peer = election.peers.find(name);
        const Millis acknowledgedAt = peer != election.peers.end() ? peer->second.acknowledgedAt : 0;
        byPeers = std::min(byPeers, acknowledgedAt + election.limits.validityMs);
    }
    return std::max(byStore, byPeers);
}

Millis lapsedFor(const Election& election, Millis now)
{
    return election.hasLapsed ? std::max<Millis>(1, now - election.lapsedAt) : 0;
}

void applyPeerMessage(
    Election& election, const std::string& name, Millis acknowledgedAt, Millis storeReachedAt, Millis now)
{
    const Millis until = validUntil(election, now);
    if (election.role == Role::Leader && !election.hasLapsed && until <= now) {
        election.hasLapsed = true;
        election.lapsedAt = std::max(until, election.formerValidUntil);
    }
    Peer& peer = election.peers[name];
    peer.isStopping = false;
    peer.lastMessageAt = now;
    peer.acknowledgedAt = std::max(peer.acknowledgedAt, acknowledgedAt);
    peer.storeReachedAt = storeReachedAt;
}

void applyPeerStopping(
    Election& election, const std::string& name, Millis acknowledgedAt, Millis storeReachedAt, Millis now)
{
    applyPeerMessage(election, name, acknowledgedAt, storeReachedAt, now);
    election.peers[name].isStopping = true;
}

namespace {

    // The strongest suitable peer in contact with this daemon; of equals the one started last.
    template <typename Predicate>
    const std::pair<const std::string, Peer>* strongestPeer(const Election& election, Millis now, Predicate isSuitable)
    {
        const auto rank = [](const Peer& peer) { return std::pair(peer.processorShare, peer.incarnation); };
        const std::pair<const std::string, Peer>* best = nullptr;
        for (const auto& entry : election.peers) {
            const bool hasContact = now - entry.second.lastMessageAt < election.limits.contactTimeoutMs;
            if (hasContact && !entry.second.isStopping && isSuitable(entry.first, entry.second)
                && (!best || rank(entry.second) > rank(best->second)))
                best = &entry;
        }
        return best;
    }

    // It was named as successor lately and has not taken over.
    bool hasFailed(const Election& election, const std::string& name, Millis now)
    {
        const auto failed = election.failedSuccessors.find(name);
        return failed != election.failedSuccessors.end() && now - failed->second < election.limits.peerTimeoutMs;
    }

    const std::pair<const std::string, Peer>* preferredPeer(const Election& election, Millis now)
    {
        return strongestPeer(election, now, [&](const std::string& name, const Peer& peer) {
            return !hasFailed(election, name, now) && now - peer.storeReachedAt < election.limits.validityMs;
        });
    }

} // namespace

std::optional<std::string> preferredSuccessor(const Election& election, Millis now)
{
    const auto* best = preferredPeer(election, now);
    const bool isStrongerSilent
        = best && std::any_of(election.peers.begin(), election.peers.end(), [&](const auto& entry) {
              const Millis silence = now - entry.second.lastMessageAt;
              return !entry.second.isStopping && silence >= election.limits.contactTimeoutMs
                  && silence <= election.limits.peerTimeoutMs && !hasFailed(election, entry.first, now)
                  && entry.second.processorShare > strongerRatio * best->second.processorShare;
          });
    return best && !isStrongerSilent ? std::optional(best->first) : std::nullopt;
}

std::optional<std::string> strongerSuccessor(const Election& election, Millis now)
{
    const auto* peer = preferredPeer(election, now);
    const bool isStronger = peer && peer->second.processorShare > strongerRatio * election.processorShare;
    return isStronger ? std::optional(peer->first) : std::nullopt;
}

std::optional<std::string> handOverTarget(const Election& election, Millis failingSince, Millis now)
{
    const bool hasLostStore = failingSince > 0 && now - failingSince >= election.limits.handOverAfterMs;
    if (election.role != Role::Leader || !hasLostStore)
        return std::nullopt;
    const auto* peer = strongestPeer(election, now, [&](const std::string&, const Peer& candidate) {
        return candidate.storeReachedAt > failingSince && now - candidate.storeReachedAt < election.limits.validityMs;
    });
    return peer ? std::optional(peer->first) : std::nullopt;
}

} // namespace lacewing::election
