// Tests of the member list in the scheduling daemon's replies: followers hold exactly the list of the reply that they
// acknowledge.
#include "base/rng.h"
#include "daemon/member_list.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;

QJsonObject replyOf(const MemberList& list, const MembersVersion& held)
{
    const QJsonDocument document = QJsonDocument::fromJson('{' + list.encodeFor(held) + '}');
    CPPUNIT_ASSERT(document.isObject());
    return document.object();
}

// One request and its reply; false when the reply was refused.
bool exchange(const MemberList& list, MemberCopy& copy)
{
    const QJsonObject request { { "membersHave", encodeVersion(copy.version()) } };
    return copy.apply(replyOf(list, decodeVersion(request["membersHave"])));
}

class DaemonMemberListTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonMemberListTest);
    CPPUNIT_TEST(listIsSentOnceForEachChange);
    CPPUNIT_TEST(missedChangesAreSentAgain);
    CPPUNIT_TEST(repliesWithoutTheListKeepTheMembers);
    CPPUNIT_TEST(repliesAboutAnUnknownListAreRefused);
    CPPUNIT_TEST(termsAndProcessesHaveTheirOwnVersions);
    CPPUNIT_TEST(daemonsWithoutVersionsGetAndGiveTheWholeList);
    CPPUNIT_TEST(malformedVersionsGetTheList);
    CPPUNIT_TEST(followersHoldTheListOfTheReplyUnderLostMessages);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against replies that repeat an unchanged list and so grow with the number of daemons.
    void listIsSentOnceForEachChange()
    {
        MemberList list;
        MemberCopy copy;
        list.update(1, 7, { { "a", 3 }, { "b", 0 } });
        CPPUNIT_ASSERT(replyOf(list, copy.version()).contains("members"));
        CPPUNIT_ASSERT(exchange(list, copy));
        CPPUNIT_ASSERT(copy.names() == std::set<std::string>({ "a", "b" }));
        list.update(1, 7, { { "a", 3 }, { "b", 0 } });
        const QJsonObject unchanged = replyOf(list, copy.version());
        CPPUNIT_ASSERT(!unchanged.contains("members") && !unchanged.contains("policyRevisions"));
        list.update(1, 7, { { "a", 3 }, { "b", 4 } }); // a revision only
        CPPUNIT_ASSERT(replyOf(list, copy.version()).contains("members"));
        CPPUNIT_ASSERT(exchange(list, copy));
        CPPUNIT_ASSERT_EQUAL(base::Revision(4), copy.revisions().at("b"));
    }

    // Guards against a follower that acknowledges replies with an outdated list after a reply was lost.
    void missedChangesAreSentAgain()
    {
        MemberList list;
        MemberCopy copy;
        list.update(1, 7, { { "a", 0 }, { "b", 0 } });
        CPPUNIT_ASSERT(exchange(list, copy));
        list.update(1, 7, { { "a", 0 }, { "b", 0 }, { "c", 0 } });
        replyOf(list, copy.version());                 // lost in transit
        list.update(1, 7, { { "a", 0 }, { "b", 0 } }); // equal to the first list, but not the same version
        CPPUNIT_ASSERT(replyOf(list, copy.version()).contains("members"));
        list.update(1, 7, { { "a", 0 }, { "b", 0 }, { "c", 0 } });
        CPPUNIT_ASSERT(exchange(list, copy));
        CPPUNIT_ASSERT(copy.names() == std::set<std::string>({ "a", "b", "c" }));
    }

    // Guards against treating an absent list as an empty one.
    void repliesWithoutTheListKeepTheMembers()
    {
        MemberList list;
        MemberCopy copy;
        list.update(1, 7, { { "a", 2 }, { "b", 1 } });
        CPPUNIT_ASSERT(exchange(list, copy));
        const MemberRevisions before = copy.revisions();
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(exchange(list, copy));
        CPPUNIT_ASSERT(copy.revisions() == before);
    }

    // Guards against a follower that acknowledges a reply whose members it has never received.
    void repliesAboutAnUnknownListAreRefused()
    {
        MemberList list;
        MemberCopy copy;
        list.update(1, 7, { { "a", 0 }, { "b", 0 } });
        const QJsonObject unchanged = replyOf(list, { 1, 7, 1 });
        CPPUNIT_ASSERT(!unchanged.contains("members"));
        CPPUNIT_ASSERT(!copy.apply(unchanged));
        CPPUNIT_ASSERT(!copy.apply({}));
        CPPUNIT_ASSERT(exchange(list, copy));
        const MemberRevisions before = copy.revisions();
        CPPUNIT_ASSERT(!copy.apply({ { "membersVersion", encodeVersion({ 1, 7, 2 }) } }));
        CPPUNIT_ASSERT(!copy.apply({ { "membersVersion", encodeVersion({ 1, 7, 1 }) } })); // version reset by refusal
        CPPUNIT_ASSERT(copy.revisions() == before);
        CPPUNIT_ASSERT(replyOf(list, copy.version()).contains("members"));
        CPPUNIT_ASSERT(exchange(list, copy));
    }

    // Guards against mistaking the list of another term, or of an earlier process of the leader, for the current one.
    void termsAndProcessesHaveTheirOwnVersions()
    {
        MemberList list;
        MemberCopy copy;
        list.update(1, 7, { { "a", 0 }, { "b", 0 } });
        CPPUNIT_ASSERT(exchange(list, copy));
        list.update(1, 9, { { "a", 0 }, { "b", 0 } });
        CPPUNIT_ASSERT(replyOf(list, copy.version()).contains("members"));
        CPPUNIT_ASSERT(!copy.apply(replyOf(list, { 1, 9, 1 })));
        CPPUNIT_ASSERT(exchange(list, copy));
        MemberList other;
        other.update(2, 9, { { "b", 0 }, { "c", 0 } });
        CPPUNIT_ASSERT(replyOf(other, copy.version()).contains("members"));
        CPPUNIT_ASSERT(!copy.apply(replyOf(other, { 2, 9, 1 })));
        CPPUNIT_ASSERT(exchange(other, copy));
        CPPUNIT_ASSERT(copy.names() == std::set<std::string>({ "b", "c" }));
    }

    // Guards against daemons of two software versions, with and without list versions, that misread each other's
    // messages.
    void daemonsWithoutVersionsGetAndGiveTheWholeList()
    {
        MemberList list;
        list.update(1, 7, { { "a", 5 }, { "b", 0 } });
        const QJsonObject reply = replyOf(list, decodeVersion(QJsonObject()["membersHave"]));
        CPPUNIT_ASSERT(reply["members"].toArray() == QJsonArray({ "a", "b" }));
        CPPUNIT_ASSERT_EQUAL(qint64(5), reply["policyRevisions"]["a"].toInteger());
        MemberCopy copy;
        CPPUNIT_ASSERT(exchange(list, copy));
        CPPUNIT_ASSERT(
            copy.apply({ { "members", QJsonArray { "c" } }, { "policyRevisions", QJsonObject { { "c", 2 } } } }));
        CPPUNIT_ASSERT(copy.revisions() == MemberRevisions({ { "c", 2 } }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), copy.version().number);
    }

    // Guards against leaving the list out because of a malformed version.
    void malformedVersionsGetTheList()
    {
        MemberList list;
        list.update(1, 7, { { "a", 0 } });
        for (const QJsonValue& value : { QJsonValue(), QJsonValue(1), QJsonValue("1"),
                 QJsonValue(QJsonArray { 1, 7, 1 }), QJsonValue(QJsonObject { { "token", 7 }, { "number", 1 } }),
                 QJsonValue(QJsonObject { { "incarnation", 1 }, { "token", 7 }, { "number", "1" } }) })
            CPPUNIT_ASSERT(replyOf(list, decodeVersion(value)).contains("members"));
    }

    // Guards against a follower's list that differs from the leader's after random changes, new terms, restarts and
    // lost replies.
    void followersHoldTheListOfTheReplyUnderLostMessages()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            base::Rng rng(seed);
            const auto below = [&rng](std::uint64_t bound) { return base::below(rng, bound); };
            MemberRevisions members { { "a", 0 } };
            std::int64_t token = 5;
            std::int64_t incarnation = 1;
            MemberList list;
            std::map<std::string, MemberCopy> copies { { "f", {} }, { "g", {} } };
            for (int i = 0; i < 100; ++i) {
                const std::string name(1, static_cast<char>('a' + below(4)));
                switch (below(6)) {
                case 0:
                    members[name] = below(3);
                    break;
                case 1:
                    members.erase(name);
                    break;
                case 2:
                    token += below(3) == 0 ? 1 : 0;
                    break;
                case 3:
                    if (below(10) == 0) {
                        ++incarnation;
                        list = {};
                    }
                    break;
                default:
                    break;
                }
                MemberCopy& copy = copies[below(2) == 0 ? "f" : "g"];
                list.update(incarnation, token, members);
                if (below(3) == 0) {
                    replyOf(list, copy.version()); // lost in transit
                    continue;
                }
                CPPUNIT_ASSERT(exchange(list, copy));
                CPPUNIT_ASSERT(copy.revisions() == members);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonMemberListTest);

} // namespace
