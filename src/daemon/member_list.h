// The daemons that the scheduling one knows, with the configuration revision in force at each: a part of its answers
// that is left out for a follower that has it already.
//
// Invariants
//   - an answer without the list means the list of exactly the version that it names, never an empty one.
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

// The part of a follower's request that tells which list it has.
QJsonObject encodeVersion(const MembersVersion& version);
// Number 0 when the value is anything but a version.
MembersVersion decodeVersion(const QJsonValue& value);

// The scheduling daemon's list, encoded once for each change.
class MemberList {
public:
    void update(std::int64_t incarnation, std::int64_t token, const MemberRevisions& members);
    // After the first update(): members of a JSON object, without braces, for a follower that has the list of this
    // version.
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
    // False when the answer refers to a list that this copy does not have. Such an answer must not be taken for
    // contact: the follower would promise without knowing on whose behalf. The next request asks for the list.
    bool apply(const QJsonObject& reply);
    const MembersVersion& version() const { return m_version; }
    const MemberRevisions& revisions() const { return m_members; }
    std::set<std::string> names() const;

private:
    MembersVersion m_version;
    MemberRevisions m_members;
};

} // namespace lacewing::daemon
