// Rules of taking, keeping and giving up a term.
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
    const QJsonObject json { { "leader", QString::fromStdString(record.leader) },
        { "incarnation", static_cast<qint64>(record.incarnation) },
        { "peerAddress", QString::fromStdString(record.peerAddress) },
        { "sequence", static_cast<qint64>(record.sequence) }, { "token", static_cast<qint64>(record.token) },
        { "isResigned", record.isResigned }, { "successor", QString::fromStdString(record.successor) },
        { "members", members } };
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
    return record;
}

bool isOwn(const Election& election, const std::optional<Record>& record, std::int64_t sequence)
{
    return record && record->leader == election.self && record->incarnation == election.incarnation
        && record->sequence == sequence;
}

namespace {

    constexpr double clearlyStronger = 1.25; // ratio of processor time; smaller differences are not worth a delay

    Millis headStart(const Election& election)
    {
        return election.largestShare > clearlyStronger * election.processorShare ? election.limits.strongerFirstMs : 0;
    }

    bool isFree(const Election& election, Millis now)
    {
        const std::optional<Record>& record = election.record;
        if (!record) {
            const double missing = 1 - std::min(1.0, election.processorShare);
            const double delay = missing * static_cast<double>(election.limits.firstTermMs);
            return now - election.changedAt >= static_cast<Millis>(delay);
        }
        if (election.freeFrom > 0)
            return now >= election.freeFrom;
        const bool isFormerSelf = record->leader == election.self && record->incarnation != election.incarnation;
        const bool isInTurn = record->successor.empty() || record->successor == election.self
            || now - election.changedAt >= election.limits.successorMs + headStart(election);
        return isFormerSelf || (record->isResigned && isInTurn);
    }

} // namespace

Action nextAction(const Election& election, Millis now)
{
    const Limits& limits = election.limits;
    if (election.role == Role::Leader) {
        const Millis period = now >= validUntil(election, now) ? limits.pollMs : limits.renewMs;
        return now - election.renewTriedAt >= period ? Action::Renew : Action::None;
    }
    const bool isMissing = now - election.contactAt >= limits.contactMs || election.contactAt == 0;
    if (election.isKnown && !election.isStopping) {
        const bool isSilent
            = now - std::max(election.changedAt, election.contactAt) >= limits.takeoverMs + headStart(election)
            && isMissing;
        if ((isFree(election, now) || isSilent) && now - election.renewTriedAt >= limits.pollMs)
            return Action::TakeOver;
    }
    if ((isMissing || !election.isKnown) && now - election.polledAt >= limits.pollMs)
        return Action::ReadRecord;
    return Action::None;
}

Record recordToWrite(Election& election, bool isResigning, Millis now)
{
    Record record;
    record.leader = election.self;
    record.incarnation = election.incarnation;
    record.peerAddress = election.peerAddress;
    record.sequence = ++election.sequence;
    record.token = election.role == Role::Leader ? election.token : 0;
    record.isResigned = isResigning;
    if (isResigning)
        record.successor = preferredSuccessor(election, now).value_or(std::string());
    record.members = election.members;
    record.members.insert(election.self);
    return record;
}

std::set<std::string> knownMembers(const Election& election, Millis now)
{
    std::set<std::string> members { election.self };
    for (const auto& [name, peer] : election.peers) {
        if (now - peer.heardAt <= election.limits.peerMemoryMs)
            members.insert(name);
    }
    return members;
}

void observe(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now)
{
    if (!election.isKnown || revision > election.revision || (revision == 0 && election.revision != 0)) {
        election.freeFrom = 0; // somebody wrote it since: the same process may lead again
        election.record = record;
        election.revision = revision;
        election.changedAt = now;
        if (record && record->isResigned)
            election.renewTriedAt = 0; // an attempt that came too early does not hold the next one back
        if (record)
            election.members.insert(record->members.begin(), record->members.end());
    }
    election.isKnown = true;
}

void observeContact(Election& election, std::int64_t revision, const std::set<std::string>& members, Millis now)
{
    election.members = members;
    election.contactAt = now;
    election.freeFrom = 0;
    if (revision > election.revision) {
        election.revision = revision;
        election.changedAt = now;
    }
}

bool isLedBy(const Election& election, const std::string& leader, std::int64_t incarnation)
{
    return election.record && election.record->leader == leader && election.record->incarnation == incarnation;
}

void observeLeaderDeath(Election& election, const std::string& leader, std::int64_t incarnation, Millis now)
{
    if (isLedBy(election, leader, incarnation) && election.freeFrom == 0)
        election.freeFrom = now + headStart(election);
}

void observeSuccession(Election& election, const std::string& leader, std::int64_t incarnation, Millis now)
{
    if (isLedBy(election, leader, incarnation))
        election.freeFrom = now;
}

void applyWritten(Election& election, const Record& record, std::int64_t revision, Millis sentAt, Millis now)
{
    if (record.isResigned) {
        election.lastSuccessor = record.successor;
        election.resignedAt = now;
        stepDown(election);
    } else if (election.role == Role::Follower) {
        election.role = Role::Leader;
        election.replacedToken = election.record && election.record->isResigned ? election.record->token : 0;
        election.token = revision;
        if (!election.lastSuccessor.empty() && now - election.resignedAt < election.limits.peerMemoryMs)
            election.passedOver[election.lastSuccessor] = now;
        election.lastSuccessor.clear();
        election.peers.clear();
        // Each of them may take over, whether it has been heard of in this term or not.
        for (const std::string& member : election.members) {
            if (member != election.self)
                election.peers[member].heardAt = now;
        }
    }
    election.members = knownMembers(election, now);
    election.record = record;
    election.revision = revision;
    election.changedAt = now;
    election.isKnown = true;
    election.freeFrom = 0;
    election.renewSentAt = sentAt;
    election.hasLapsed = false;
}

void applyStanding(Election& election, std::int64_t revision, Millis sentAt)
{
    election.revision = revision;
    election.renewSentAt = sentAt;
    election.hasLapsed = false;
    election.renewTriedAt = 0; // writes again at once
}

void stepDown(Election& election)
{
    election.role = Role::Follower;
    election.token = 0;
    election.contactAt = 0;
    election.isKnown = false; // read the record anew before anything is taken over
    election.peers.clear();
}

Millis validUntil(const Election& election, Millis now)
{
    if (election.role != Role::Leader)
        return 0;
    const Millis byStore = election.renewSentAt + election.limits.validityMs;
    if (byStore > now || election.hasLapsed)
        return byStore;
    Millis byPeers = now + election.limits.validityMs;
    bool hasPeer = false;
    for (const auto& [name, peer] : election.peers) {
        if (now - peer.heardAt > election.limits.peerMemoryMs)
            continue;
        hasPeer = true;
        byPeers = std::min(byPeers, peer.promisedAt + election.limits.validityMs);
    }
    return hasPeer ? std::max(byStore, byPeers) : byStore;
}

void hearPeer(Election& election, const std::string& name, Millis promisedAt, Millis storeOkAt, Millis now)
{
    election.hasLapsed = election.hasLapsed || validUntil(election, now) <= now;
    Peer& peer = election.peers[name];
    peer.heardAt = now;
    peer.promisedAt = std::max(peer.promisedAt, promisedAt);
    peer.storeOkAt = storeOkAt;
}

void forgetPeer(Election& election, const std::string& name) { election.peers.erase(name); }

namespace {

    // The strongest of the suitable peers in touch; of equals the one that was started last.
    template <typename Predicate>
    const std::pair<const std::string, Peer>* strongestPeer(const Election& election, Millis now, Predicate isSuitable)
    {
        const auto rank = [](const Peer& peer) { return std::pair(peer.processorShare, peer.incarnation); };
        const std::pair<const std::string, Peer>* best = nullptr;
        for (const auto& entry : election.peers) {
            const bool isInTouch = now - entry.second.heardAt < election.limits.contactMs;
            if (isInTouch && isSuitable(entry.first, entry.second)
                && (!best || rank(entry.second) > rank(best->second)))
                best = &entry;
        }
        return best;
    }

    const std::pair<const std::string, Peer>* preferredPeer(const Election& election, Millis now)
    {
        return strongestPeer(election, now, [&](const std::string& name, const Peer& peer) {
            const auto passed = election.passedOver.find(name);
            const bool isPassedOver
                = passed != election.passedOver.end() && now - passed->second < election.limits.peerMemoryMs;
            return !isPassedOver && now - peer.storeOkAt < election.limits.validityMs;
        });
    }

} // namespace

std::optional<std::string> preferredSuccessor(const Election& election, Millis now)
{
    const auto* peer = preferredPeer(election, now);
    return peer ? std::optional(peer->first) : std::nullopt;
}

bool hasStrongerSuccessor(const Election& election, Millis now)
{
    const auto* peer = preferredPeer(election, now);
    return peer && peer->second.processorShare > clearlyStronger * election.processorShare;
}

std::optional<std::string> successor(const Election& election, Millis failingSince, Millis now)
{
    const bool hasLostStore = failingSince > 0 && now - failingSince >= election.limits.handOverMs;
    if (election.role != Role::Leader || !hasLostStore)
        return std::nullopt;
    const auto* peer = strongestPeer(
        election, now, [&](const std::string&, const Peer& candidate) { return candidate.storeOkAt > failingSince; });
    return peer ? std::optional(peer->first) : std::nullopt;
}

} // namespace lacewing::election
