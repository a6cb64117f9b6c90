// The daemons that the scheduling daemon knows, with the configuration revision in force at each. The list is part of
// its replies, and is left out for a follower that already has it.
//
// Invariants
//   - a reply without the list refers to the list of exactly the version that it names, never to an empty one.
//   - versions of different processes or terms are never equal.
#pragma once

#include "base/ids.h"

#include <QByteArray>
#include <QJsonObject>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace lacewing::daemon {

using MemberRevisions = std::map<std::string, base::Revision>; // by name of the daemon

struct MembersVersion {
    std::int64_t incarnation = 0; // of the scheduling daemon's process
    std::int64_t token = 0;       // of its term
    std::int64_t number = 0;      // of the list within the term, from 1; 0: no list

    bool operator==(const MembersVersion&) const = default;
};

// Field of a follower's request: the version of the list that it has.
QJsonObject encodeVersion(const MembersVersion& version);
// Returns number 0 when the value is not a version.
MembersVersion decodeVersion(const QJsonValue& value);

// The scheduling daemon's list. It is encoded once for each change.
class MemberList {
public:
    void update(std::int64_t incarnation, std::int64_t token, const MemberRevisions& members);
    // Members of a JSON object, without braces, for a follower that has the list of this version. Valid after the first
    // update().
    QByteArray encodeFor(const MembersVersion& heldVersion) const;

private:
    MembersVersion m_version;
    MemberRevisions m_members;
    QByteArray m_versionText;
    QByteArray m_listText;
};

// A follower's copy of the list.
class MemberCopy {
public:
    // Returns false when the reply refers to a list that this copy does not have. Such a reply must not count as
    // contact with the leader: the follower would acknowledge it without knowing the members it applies to. The next
    // request asks for the list.
    bool apply(const QJsonObject& reply);
    const MembersVersion& version() const { return m_version; }
    const MemberRevisions& revisions() const { return m_members; }
    std::set<std::string> names() const;

private:
    MembersVersion m_version;
    MemberRevisions m_members;
};

} // namespace lacewing::daemon
