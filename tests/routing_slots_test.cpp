// Tests of single rules of the slot split. The property test covers their combination; each test here pins one rule.
#include "routing/slots.h"

#include <bit>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::routing;

const base::EndpointId endpoint { "endpoint" };
const base::DaemonId a { "a" };
const base::DaemonId b { "b" };
const base::DaemonId c { "c" };
constexpr base::Duration shortTime = base::milliseconds(10);

base::TimePoint at(std::int64_t ms) { return base::TimePoint(base::milliseconds(ms)); }

SlotTable makeTable(const base::DaemonId& self, Incarnation incarnation = 1)
{
    SlotTable table;
    table.self = self;
    table.incarnation = incarnation;
    const EndpointSize size { endpoint, 8 };
    setEndpoints(table, { &size, 1 });
    return table;
}

SlotRecord makeRecord(std::uint64_t version, const std::vector<base::DaemonId>& daemons)
{
    SlotRecord record { version, {} };
    for (const base::DaemonId& daemon : daemons)
        record.members.push_back({ daemon, 1 });
    return record;
}

SlotAck makeAck(const base::DaemonId& daemon, std::uint64_t version, SlotMask busy = 0)
{
    SlotAck ack;
    ack.daemon = daemon;
    ack.incarnation = 1;
    ack.version = version;
    if (busy != 0)
        ack.busy.push_back({ endpoint, busy });
    return ack;
}

SlotMask ownedBy(const SlotRecord& record, const base::DaemonId& daemon)
{
    SlotMask mask = 0;
    for (int slot = 0; slot < 8; ++slot)
        mask |= slotOwner(record, endpoint, slot)->daemon == daemon ? SlotMask { 1 } << slot : 0;
    return mask;
}

// Tables of a and b that share the endpoint at version 2.
struct Pair {
    Pair()
    {
        const SlotRecord record = makeRecord(2, { a, b });
        onRecord(first, record, at(0), at(0));
        onRecord(second, record, at(0), at(0));
        onAck(first, currentAck(second, at(0)), std::nullopt, at(0));
        onAck(second, currentAck(first, at(0)), std::nullopt, at(0));
    }

    SlotTable first = makeTable(a);
    SlotTable second = makeTable(b);
};

class SlotsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlotsTest);
    CPPUNIT_TEST(gainedSlotWaitsForAcknowledgementOfTheSameVersion);
    CPPUNIT_TEST(gainedSlotWaitsWhileThePreviousOwnerUsesIt);
    CPPUNIT_TEST(lostSlotIsBusyUntilItsRequestEnds);
    CPPUNIT_TEST(borrowedSlotIsBusyAtTheBorrower);
    CPPUNIT_TEST(lentSlotIsNotUsedByItsOwnerBeforeTheLeaseEnds);
    CPPUNIT_TEST(repeatedLoanReplyIsGivenBack);
    CPPUNIT_TEST(loanReplyOfAnotherVersionIsGivenBack);
    CPPUNIT_TEST(borrowedSlotIsUsedOnlyWithinItsLease);
    CPPUNIT_TEST(isolatedMemberStops);
    CPPUNIT_TEST(bufferedReplyIsNoEvidence);
    CPPUNIT_TEST(replyOfALaterVersionIsNoEvidence);
    CPPUNIT_TEST(onlyMemberKeepsServingInAStoreOutage);
    CPPUNIT_TEST(silentMemberIsDroppedOnlyAfterAllOthersKnowTheMark);
    CPPUNIT_TEST(markedMemberStopsAndReturns);
    CPPUNIT_TEST(closedTableUsesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counting an acknowledgement of a later version, where the sender may own the slot again.
    void gainedSlotWaitsForAcknowledgementOfTheSameVersion()
    {
        SlotTable table = makeTable(b);
        onRecord(table, makeRecord(2, { a, b }), at(0), at(0));
        CPPUNIT_ASSERT_EQUAL(0, grantedSlots(table));
        onAck(table, makeAck(a, 1), std::nullopt, at(1));
        CPPUNIT_ASSERT_EQUAL(0, grantedSlots(table));
        onAck(table, makeAck(a, 3), std::nullopt, at(2));
        CPPUNIT_ASSERT_EQUAL(0, grantedSlots(table));
        onRecord(table, makeRecord(3, { a, b }), at(3), at(3));
        onAck(table, makeAck(a, 3), std::nullopt, at(4));
        CPPUNIT_ASSERT_EQUAL(std::popcount(ownedBy(table.record, b)), grantedSlots(table));
    }

    // Guards against using a slot while a request of its previous owner runs on it.
    void gainedSlotWaitsWhileThePreviousOwnerUsesIt()
    {
        SlotTable table = makeTable(b);
        const SlotRecord record = makeRecord(2, { a, b });
        const SlotMask owned = ownedBy(record, b);
        const SlotMask used = owned & (~owned + 1);
        onRecord(table, record, at(0), at(0));
        onAck(table, makeAck(a, 2, used), std::nullopt, at(1));
        CPPUNIT_ASSERT_EQUAL(owned & ~used, table.endpoints.at(endpoint).granted);
        onAck(table, makeAck(a, 2), std::nullopt, at(2));
        CPPUNIT_ASSERT_EQUAL(owned, table.endpoints.at(endpoint).granted);
    }

    // Guards against an acknowledgement that hides a request in flight on a slot that moved.
    void lostSlotIsBusyUntilItsRequestEnds()
    {
        SlotTable table = makeTable(a);
        onRecord(table, makeRecord(1, { a }), at(0), at(0));
        std::vector<SlotHold> holds;
        while (const auto hold = acquire(table, endpoint, shortTime, at(1)))
            holds.push_back(*hold);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, holds.size());
        const SlotRecord record = makeRecord(2, { a, b });
        onRecord(table, record, at(2), at(2));
        CPPUNIT_ASSERT_EQUAL(ownedBy(record, b), currentAck(table, at(2)).busy.at(0).slots);
        for (const SlotHold& hold : holds)
            release(table, hold);
        CPPUNIT_ASSERT(currentAck(table, at(2)).busy.empty());
        CPPUNIT_ASSERT_EQUAL(std::popcount(ownedBy(record, a)), usable(table, endpoint, shortTime, at(3)));
    }

    // Guards against a new owner that uses a lent slot after its lender was replaced.
    void borrowedSlotIsBusyAtTheBorrower()
    {
        Pair pair;
        const LoanAsk ask = *borrow(pair.second, endpoint, at(1));
        const LoanReply reply = lend(pair.first, ask.request, at(1));
        CPPUNIT_ASSERT(!onLoanReply(pair.second, reply, at(2)));
        CPPUNIT_ASSERT_EQUAL(reply.slots, currentAck(pair.second, at(2)).busy.at(0).slots);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, takeReturns(pair.second, true, at(3)).size());
        CPPUNIT_ASSERT(currentAck(pair.second, at(3)).busy.empty());
    }

    // Guards against an owner that takes a lent slot back early when the return is lost.
    void lentSlotIsNotUsedByItsOwnerBeforeTheLeaseEnds()
    {
        Pair pair;
        const int before = usable(pair.first, endpoint, shortTime, at(1));
        const LoanAsk ask = *borrow(pair.second, endpoint, at(1));
        const LoanReply reply = lend(pair.first, ask.request, at(1));
        CPPUNIT_ASSERT(reply.slots != 0);
        CPPUNIT_ASSERT_EQUAL(reply.slots, lend(pair.first, ask.request, at(2)).slots); // repeated request
        update(pair.first, at(1 + reply.leaseMs));
        CPPUNIT_ASSERT_EQUAL(before - 1, usable(pair.first, endpoint, shortTime, at(1 + reply.leaseMs)));
        const base::TimePoint end = at(1) + base::leaseExpiryBound(base::milliseconds(reply.leaseMs));
        update(pair.first, end);
        CPPUNIT_ASSERT_EQUAL(before, usable(pair.first, endpoint, shortTime, end));
    }

    // Guards against using a returned slot again because its loan reply arrives twice.
    void repeatedLoanReplyIsGivenBack()
    {
        Pair pair;
        const LoanAsk ask = *borrow(pair.second, endpoint, at(1));
        const LoanReply reply = lend(pair.first, ask.request, at(1));
        CPPUNIT_ASSERT(!onLoanReply(pair.second, reply, at(2)));
        CPPUNIT_ASSERT(!onLoanReply(pair.second, reply, at(2))); // in use: the loan goes on
        for (const LoanReturn& loan : takeReturns(pair.second, true, at(3)))
            onLoanReturn(pair.first, loan);
        CPPUNIT_ASSERT(onLoanReply(pair.second, reply, at(4)).has_value());
        CPPUNIT_ASSERT(pair.second.endpoints.at(endpoint).borrowed.empty());
    }

    // Guards against a loan that arrives after the borrower acknowledged a version in which the slot has a new owner.
    void loanReplyOfAnotherVersionIsGivenBack()
    {
        Pair pair;
        const LoanAsk ask = *borrow(pair.second, endpoint, at(1));
        const LoanReply reply = lend(pair.first, ask.request, at(1));
        onRecord(pair.second, makeRecord(3, { b, c }), at(2), at(2));
        CPPUNIT_ASSERT(onLoanReply(pair.second, reply, at(3)).has_value());
        CPPUNIT_ASSERT(pair.second.endpoints.at(endpoint).borrowed.empty());
    }

    // Guards against a request on a borrowed slot that outlives the loan.
    void borrowedSlotIsUsedOnlyWithinItsLease()
    {
        Pair pair;
        const int own = usable(pair.second, endpoint, shortTime, at(1));
        const LoanAsk ask = *borrow(pair.second, endpoint, at(1));
        const LoanReply reply = lend(pair.first, ask.request, at(500));
        onLoanReply(pair.second, reply, at(1000));
        CPPUNIT_ASSERT_EQUAL(own + 1, usable(pair.second, endpoint, shortTime, at(reply.leaseMs + 1 - 10)));
        CPPUNIT_ASSERT_EQUAL(own, usable(pair.second, endpoint, shortTime, at(reply.leaseMs + 1 - 9)));
    }

    // Guards against a member that keeps using slots after the others may have given them away.
    void isolatedMemberStops()
    {
        Pair pair;
        const std::int64_t isolationMs = pair.first.limits.isolationMs;
        CPPUNIT_ASSERT(acquire(pair.first, endpoint, shortTime, at(isolationMs - 1)));
        CPPUNIT_ASSERT(!acquire(pair.first, endpoint, shortTime, at(isolationMs)));
        onAck(pair.first, makeAck(b, 2), at(isolationMs + 5), at(isolationMs + 6));
        CPPUNIT_ASSERT(acquire(pair.first, endpoint, shortTime, at(isolationMs + 6)));
    }

    // Guards against a paused member that takes a reply from before its pause as a fresh contact.
    void bufferedReplyIsNoEvidence()
    {
        Pair pair;
        const std::int64_t isolationMs = pair.first.limits.isolationMs;
        onAck(pair.first, makeAck(b, 2), at(10), at(10 * isolationMs));
        CPPUNIT_ASSERT(isStopped(pair.first, at(10 * isolationMs)));
        onAck(pair.first, makeAck(b, 2), std::nullopt, at(10 * isolationMs));
        CPPUNIT_ASSERT(isStopped(pair.first, at(10 * isolationMs)));
    }

    // Guards against a member that a contact keeps alive although that contact knows of its removal.
    void replyOfALaterVersionIsNoEvidence()
    {
        Pair pair;
        const std::int64_t isolationMs = pair.first.limits.isolationMs;
        onAck(pair.first, makeAck(b, 3), at(isolationMs), at(isolationMs));
        CPPUNIT_ASSERT(isStopped(pair.first, at(isolationMs)));
    }

    // Guards against an outage of the store that stops a data centre with one daemon.
    void onlyMemberKeepsServingInAStoreOutage()
    {
        SlotTable table = makeTable(a);
        onRecord(table, makeRecord(1, { a }), at(0), at(0));
        CPPUNIT_ASSERT_EQUAL(8, usable(table, endpoint, shortTime, at(3600000)));
    }

    // Guards against giving away the slots of a member that one other member still keeps alive.
    void silentMemberIsDroppedOnlyAfterAllOthersKnowTheMark()
    {
        SlotTable table = makeTable(a);
        onRecord(table, makeRecord(2, { a, b, c }), at(0), at(0));
        const std::int64_t silentAt = table.limits.silenceMs;
        SlotAck ack = makeAck(b, 2);
        onAck(table, ack, std::nullopt, at(silentAt));
        CPPUNIT_ASSERT(!proposeRecord(table, at(silentAt))); // b still hears c
        ack.silent = { c };
        onAck(table, ack, std::nullopt, at(silentAt));
        SlotRecord marked = *proposeRecord(table, at(silentAt));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, marked.members.at(2).removingSince);
        onRecord(table, marked, at(silentAt), at(silentAt));
        const std::int64_t wait = table.limits.isolationMs + table.limits.longestRequestMs;
        const base::TimePoint later = at(silentAt + 2 * wait);
        CPPUNIT_ASSERT(!proposeRecord(table, later)); // b has not acknowledged the mark
        onAck(table, makeAck(b, 3), std::nullopt, later);
        CPPUNIT_ASSERT(!proposeRecord(table, later));
        CPPUNIT_ASSERT(!proposeRecord(table, later + base::milliseconds(wait)));
        const std::optional<SlotRecord> dropped
            = proposeRecord(table, later + base::leaseExpiryBound(base::milliseconds(wait)));
        CPPUNIT_ASSERT(dropped.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, dropped->members.size());
    }

    // Guards against a marked member that continues, and against one that never comes back.
    void markedMemberStopsAndReturns()
    {
        Pair pair;
        SlotRecord marked = makeRecord(3, { a, b });
        marked.members.at(0).removingSince = 3;
        onRecord(pair.first, marked, at(1), at(1));
        CPPUNIT_ASSERT(!acquire(pair.first, endpoint, shortTime, at(1)));
        const std::optional<SlotRecord> back = proposeRecord(pair.first, at(2));
        CPPUNIT_ASSERT(back && back->members.at(0).removingSince == 0);
        onRecord(pair.first, *back, at(3), at(3));
        CPPUNIT_ASSERT(acquire(pair.first, endpoint, shortTime, at(3)));
    }

    // Guards against use or loans of slots after the goodbye.
    void closedTableUsesNothing()
    {
        Pair pair;
        const SlotHold hold = *acquire(pair.first, endpoint, shortTime, at(1));
        CPPUNIT_ASSERT(!closeTable(pair.first));
        release(pair.first, hold);
        const std::optional<SlotRecord> record = closeTable(pair.first);
        CPPUNIT_ASSERT(record && record->members.size() == 1 && record->members.at(0).daemon == b);
        CPPUNIT_ASSERT(!acquire(pair.first, endpoint, shortTime, at(2)));
        const LoanAsk ask = *borrow(pair.second, endpoint, at(2));
        CPPUNIT_ASSERT_EQUAL(SlotMask { 0 }, lend(pair.first, ask.request, at(2)).slots);
        onRecord(pair.second, *record, at(3), at(3));
        CPPUNIT_ASSERT_EQUAL(8, usable(pair.second, endpoint, shortTime, at(3)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsTest);

} // namespace
