// Versions and JSON form of the list of members.
#include "daemon/member_list.h"

#include "base/json.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace lacewing::daemon {

namespace {

    // The members of an object as text, without its braces.
    QByteArray innerText(const QJsonObject& object)
    {
        const QByteArray text = QJsonDocument(object).toJson(QJsonDocument::Compact);
        return text.mid(1, text.size() - 2);
    }

} // namespace

QJsonObject encodeVersion(const MembersVersion& version)
{
    return { { "incarnation", static_cast<qint64>(version.incarnation) },
        { "token", static_cast<qint64>(version.token) }, { "number", static_cast<qint64>(version.number) } };
}

MembersVersion decodeVersion(const QJsonValue& value)
{
    return { value["incarnation"].toInteger(), value["token"].toInteger(), value["number"].toInteger() };
}

// --- Scheduling daemon ---

void MemberList::update(std::int64_t incarnation, std::int64_t token, const MemberRevisions& members)
{
    const bool isSameTerm = m_version.incarnation == incarnation && m_version.token == token;
    if (isSameTerm && m_version.number > 0 && members == m_members)
        return;
    m_version = { incarnation, token, isSameTerm ? m_version.number + 1 : 1 };
    m_members = members;
    QJsonArray names;
    QJsonObject revisions;
    for (const auto& [name, revision] : members) {
        names.append(QString::fromStdString(name));
        revisions[QString::fromStdString(name)] = static_cast<qint64>(revision);
    }
    m_versionText = innerText({ { "membersVersion", encodeVersion(m_version) } });
    m_listText = innerText({ { "members", names }, { "policyRevisions", revisions } });
}

QByteArray MemberList::encodeFor(const MembersVersion& heldVersion) const
{
    return heldVersion.number > 0 && heldVersion == m_version ? m_versionText : m_versionText + ',' + m_listText;
}

// --- Follower ---

bool MemberCopy::apply(const QJsonObject& reply)
{
    const MembersVersion replyVersion = decodeVersion(reply["membersVersion"]);
    if (!reply.contains(QLatin1String("members"))) {
        if (replyVersion.number > 0 && replyVersion == m_version)
            return true;
        m_version = {};
        return false;
    }
    m_version = replyVersion;
    m_members.clear();
    const QJsonObject revisions = reply["policyRevisions"].toObject();
    for (const QJsonValue member : reply["members"].toArray())
        m_members[base::textOf(member)] = static_cast<base::Revision>(revisions[member.toString()].toInteger());
    return true;
}

std::set<std::string> MemberCopy::names() const
{
    std::set<std::string> names;
    for (const auto& [name, revision] : m_members)
        names.insert(name);
    return names;
}

} // namespace lacewing::daemon
