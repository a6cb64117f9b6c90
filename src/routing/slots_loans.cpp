// Loans of slots between the daemons of one data centre.
#include "routing/slots.h"

#include <algorithm>
#include <bit>

namespace lacewing::routing {

namespace {

    void count(const SlotTable& table, std::uint64_t Counters::*field, std::uint64_t amount = 1)
    {
        if (table.counters)
            table.counters->*field += amount;
    }

    int sizeOf(SlotMask mask) { return std::popcount(mask); }

    // The lowest slots of the mask, at most limit of them.
    SlotMask lowest(SlotMask mask, int limit)
    {
        SlotMask chosen = 0;
        for (int taken = 0; taken < limit && mask != 0; ++taken) {
            const SlotMask slot = mask & (~mask + 1);
            chosen |= slot;
            mask &= ~slot;
        }
        return chosen;
    }

    void updateLent(EndpointSlots& state)
    {
        state.lent = 0;
        for (const Loan& loan : state.loans)
            state.lent |= loan.slots;
    }

    bool isListed(const SlotTable& table, const base::DaemonId& daemon, Incarnation incarnation)
    {
        return std::any_of(table.record.members.begin(), table.record.members.end(), [&](const RecordMember& member) {
            return member.daemon == daemon && member.incarnation == incarnation && member.removingSince == 0;
        });
    }

    bool isReachable(const SlotTable& table, const RecordMember& member, base::TimePoint now)
    {
        const auto found = table.peers.find(member.daemon);
        if (found == table.peers.end() || found->second.incarnation != member.incarnation || found->second.isGone)
            return false;
        const bool isCurrent = found->second.hasAck && found->second.ack.version == table.record.version;
        return isCurrent && now < found->second.heardAt + base::milliseconds(table.limits.silenceMs);
    }

} // namespace

void endLoans(SlotTable& table, base::TimePoint now)
{
    if (table.loanCount == 0)
        return;
    std::size_t remaining = 0;
    for (auto& [endpoint, state] : table.endpoints) {
        if (state.loans.empty())
            continue;
        std::erase_if(state.loans, [now](const Loan& loan) { return now >= loan.until; });
        updateLent(state);
        remaining += state.loans.size();
    }
    table.loanCount = remaining;
}

std::optional<LoanAsk> borrow(SlotTable& table, const base::EndpointId& endpoint, base::TimePoint now)
{
    const auto found = table.endpoints.find(endpoint);
    if (found == table.endpoints.end() || isStopped(table, now))
        return std::nullopt;
    if (table.loanAskedAt && now < *table.loanAskedAt + base::milliseconds(table.limits.loanRetryMs))
        return std::nullopt;
    const RecordMember* best = nullptr;
    int bestShare = 0;
    for (const RecordMember& member : table.record.members) {
        if (member.daemon == table.self || member.removingSince != 0 || !isReachable(table, member, now))
            continue;
        int share = 0;
        for (int slot = 0; slot < found->second.slots; ++slot)
            share += slotOwner(table.record, endpoint, slot) == &member ? 1 : 0;
        if (share > bestShare) {
            best = &member;
            bestShare = share;
        }
    }
    if (!best)
        return std::nullopt;
    // Requests without a reply for a whole lease can no longer be used.
    std::erase_if(table.pending,
        [&](const auto& item) { return now >= item.second.sentAt + base::milliseconds(table.limits.loanLeaseMs); });
    table.loanAskedAt = now;
    LoanAsk ask;
    ask.owner = best->daemon;
    ask.request = { table.self, table.incarnation, table.nextRequest++, table.record.version, endpoint, 1 };
    table.pending[ask.request.request] = { endpoint, best->daemon, now, table.record.version };
    return ask;
}

LoanReply lend(SlotTable& table, const LoanRequest& request, base::TimePoint now)
{
    update(table, now);
    LoanReply reply;
    reply.owner = table.self;
    reply.ownerIncarnation = table.incarnation;
    reply.request = request.request;
    reply.version = table.record.version;
    reply.endpoint = request.endpoint;
    reply.leaseMs = table.limits.loanLeaseMs;
    const auto found = table.endpoints.find(request.endpoint);
    const bool isAllowed = !isStopped(table, now) && request.version == table.record.version
        && isListed(table, request.borrower, request.incarnation);
    if (found == table.endpoints.end() || !isAllowed)
        return reply;
    EndpointSlots& state = found->second;
    for (const Loan& loan : state.loans) {
        const bool isSame = loan.borrower == request.borrower && loan.borrowerIncarnation == request.incarnation
            && loan.request == request.request;
        if (isSame) { // repeated request
            reply.loan = loan.number;
            reply.slots = loan.slots;
            reply.leaseMs = loan.leaseMs;
            return reply;
        }
    }
    const SlotMask free = state.granted & ~state.lent & ~state.inUse;
    const int spare = sizeOf(free) - table.limits.loanReserve;
    const int wanted = std::min({ request.count, table.limits.loanMaxSlots, spare });
    if (wanted <= 0)
        return reply;
    Loan loan;
    loan.number = table.nextLoan++;
    loan.borrower = request.borrower;
    loan.borrowerIncarnation = request.incarnation;
    loan.request = request.request;
    loan.leaseMs = table.limits.loanLeaseMs;
    loan.slots = lowest(free, wanted);
    loan.until = now + base::leaseExpiryBound(base::milliseconds(loan.leaseMs));
    reply.loan = loan.number;
    reply.slots = loan.slots;
    state.loans.push_back(std::move(loan));
    updateLent(state);
    ++table.loanCount;
    count(table, &Counters::loansGiven, static_cast<std::uint64_t>(wanted));
    return reply;
}

std::optional<LoanReturn> onLoanReply(SlotTable& table, const LoanReply& reply, base::TimePoint now)
{
    const auto asked = table.pending.find(reply.request);
    const bool isExpected = asked != table.pending.end() && asked->second.owner == reply.owner
        && asked->second.endpoint == reply.endpoint && asked->second.version == reply.version;
    std::optional<base::TimePoint> until;
    if (isExpected) {
        until = asked->second.sentAt + base::milliseconds(reply.leaseMs);
        table.pending.erase(asked);
    }
    if (reply.slots == 0)
        return std::nullopt;
    const auto found = table.endpoints.find(reply.endpoint);
    const bool isUsable = until && now < *until && reply.version == table.record.version
        && isListed(table, reply.owner, reply.ownerIncarnation) && !table.isClosed && found != table.endpoints.end();
    if (!isUsable) {
        count(table, &Counters::loansDiscarded);
        // A repeated reply of a loan that is in use must not end that loan.
        if (found != table.endpoints.end()) {
            for (const Borrowed& loan : found->second.borrowed) {
                const bool isSame = loan.owner == reply.owner && loan.ownerIncarnation == reply.ownerIncarnation
                    && loan.loan == reply.loan;
                if (isSame)
                    return std::nullopt;
            }
        }
        return LoanReturn { reply.owner, reply.ownerIncarnation, reply.loan, reply.endpoint };
    }
    ++table.borrowedCount;
    found->second.borrowed.push_back({ reply.owner, reply.ownerIncarnation, reply.loan, reply.slots, *until });
    count(table, &Counters::loansReceived, static_cast<std::uint64_t>(sizeOf(reply.slots)));
    return std::nullopt;
}

void onLoanReturn(SlotTable& table, const LoanReturn& loan)
{
    const auto found = table.endpoints.find(loan.endpoint);
    const bool isOwn = loan.owner == table.self && loan.ownerIncarnation == table.incarnation;
    if (found == table.endpoints.end() || !isOwn)
        return;
    const std::size_t removed
        = std::erase_if(found->second.loans, [&](const Loan& item) { return item.number == loan.loan; });
    table.loanCount -= removed;
    updateLent(found->second);
}

std::vector<LoanReturn> takeReturns(SlotTable& table, bool all, base::TimePoint now)
{
    std::vector<LoanReturn> returns;
    if (table.borrowedCount == 0)
        return returns;
    for (auto& item : table.endpoints) {
        EndpointSlots& state = item.second;
        std::erase_if(state.borrowed, [&](const Borrowed& loan) {
            const bool isIdle = (state.inUse & loan.slots) == 0;
            const bool isDone = isIdle && (all || now >= loan.until);
            if (isDone)
                returns.push_back({ loan.owner, loan.ownerIncarnation, loan.loan, item.first });
            return isDone;
        });
    }
    table.borrowedCount -= returns.size();
    return returns;
}

} // namespace lacewing::routing
