// Steps of the model in routing_slots_world.h.
#include "routing_slots_world.h"

#include <algorithm>

namespace lacewing::routing::slotsWorld {

namespace {

    SlotLimits testLimits()
    {
        SlotLimits limits;
        limits.isolationMs = 300;
        limits.silenceMs = 60;
        limits.longestRequestMs = 150;
        limits.loanLeaseMs = 300;
        limits.loanRetryMs = 5;
        limits.loanReserve = 0;
        limits.loanMaxSlots = 3;
        return limits;
    }

    bool isConnected(const World& world, int from, int to)
    {
        if (from >= 0 && to >= 0)
            return world.groups[static_cast<std::size_t>(from)] == world.groups[static_cast<std::size_t>(to)];
        const Process& process = world.processes[static_cast<std::size_t>(std::max(from, to))];
        return world.isStoreUp && !process.isStoreCut;
    }

    void post(World& world, int from, int to, const std::function<void()>& deliver, std::uint64_t toIncarnation = 0)
    {
        if (!isConnected(world, from, to) || base::chance(world.rng, world.lossShare))
            return;
        const int copies = base::chance(world.rng, world.repeatShare) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            Message message;
            message.dueMs = world.nowMs + 1
                + static_cast<std::int64_t>(base::below(world.rng, static_cast<std::uint64_t>(world.delayMaxMs)));
            message.from = from;
            message.to = to;
            message.toIncarnation = toIncarnation;
            message.deliver = deliver;
            world.messages.push_back(std::move(message));
        }
    }

    Process& processAt(World& world, int index) { return world.processes[static_cast<std::size_t>(index)]; }

    void readStore(World& world, int index)
    {
        const Incarnation incarnation = processAt(world, index).table.incarnation;
        const base::TimePoint sentAt = localNow(world, processAt(world, index));
        post(world, index, -1, [&world, index, incarnation, sentAt] {
            post(
                world, -1, index,
                [&world, index, sentAt, record = world.record] {
                    Process& process = processAt(world, index);
                    onRecord(process.table, record, sentAt, localNow(world, process));
                },
                incarnation);
        });
    }

    void writeStore(World& world, int index, const SlotRecord& record)
    {
        const Incarnation incarnation = processAt(world, index).table.incarnation;
        const base::TimePoint sentAt = localNow(world, processAt(world, index));
        post(world, index, -1, [&world, index, incarnation, sentAt, record] {
            if (world.record.version + 1 == record.version)
                world.record = record;
            post(
                world, -1, index,
                [&world, index, sentAt, current = world.record] {
                    Process& process = processAt(world, index);
                    onRecord(process.table, current, sentAt, localNow(world, process));
                },
                incarnation);
        });
    }

    void passRecord(World& world, int index, const SlotRecord& record)
    {
        Process& process = processAt(world, index);
        onRelayedRecord(process.table, record, localNow(world, process));
    }

    void heartbeat(World& world, int from, int to)
    {
        Process& sender = processAt(world, from);
        const base::TimePoint sentAt = localNow(world, sender);
        const Incarnation incarnation = sender.table.incarnation;
        const SlotAck ack = currentAck(sender.table, sentAt);
        post(world, from, to, [&world, from, to, ack, sentAt, incarnation, record = sender.table.record] {
            Process& receiver = processAt(world, to);
            passRecord(world, to, record);
            onAck(receiver.table, ack, std::nullopt, localNow(world, receiver));
            const SlotAck reply = currentAck(receiver.table, localNow(world, receiver));
            post(
                world, to, from,
                [&world, from, reply, sentAt, current = receiver.table.record] {
                    Process& asker = processAt(world, from);
                    onAck(asker.table, reply, sentAt, localNow(world, asker));
                    passRecord(world, from, current);
                },
                incarnation);
        });
    }

    int indexOf(const base::DaemonId& daemon) { return daemon.value.back() - '0'; }

    void giveBack(World& world, int index, const LoanReturn& loan)
    {
        const int owner = indexOf(loan.owner);
        post(world, index, owner, [&world, owner, loan] { onLoanReturn(processAt(world, owner).table, loan); });
    }

    void askForLoan(World& world, int index)
    {
        Process& process = processAt(world, index);
        const base::EndpointId endpoint = endpointName(static_cast<int>(base::below(world.rng, endpointCount)));
        const std::optional<LoanAsk> ask = borrow(process.table, endpoint, localNow(world, process));
        if (!ask)
            return;
        const int owner = indexOf(ask->owner);
        const Incarnation incarnation = process.table.incarnation;
        LoanRequest request = ask->request;
        request.count = 3;
        post(world, index, owner, [&world, index, owner, request, incarnation] {
            Process& lender = processAt(world, owner);
            const LoanReply reply = lend(lender.table, request, localNow(world, lender));
            post(
                world, owner, index,
                [&world, index, reply] {
                    Process& borrower = processAt(world, index);
                    world.lent += reply.slots != 0 ? 1 : 0;
                    if (const auto unused = onLoanReply(borrower.table, reply, localNow(world, borrower)))
                        giveBack(world, index, *unused);
                },
                incarnation);
        });
    }

    void useSlots(World& world, Process& process)
    {
        const base::TimePoint now = localNow(world, process);
        std::erase_if(process.holds, [&](const Hold& hold) {
            const bool isOver = now >= hold.endsAt;
            if (isOver)
                release(process.table, hold.hold);
            return isOver;
        });
        if (process.isLeaving)
            return;
        for (int index = 0; index < endpointCount; ++index) {
            if (!process.isGreedy)
                continue;
            const auto limitMs = static_cast<std::int64_t>(10 + base::below(world.rng, 141));
            const auto hold = acquire(process.table, endpointName(index), base::milliseconds(limitMs), now);
            if (!hold)
                continue;
            ++world.acquired;
            const auto lengthMs = 1 + base::below(world.rng, static_cast<std::uint64_t>(limitMs));
            process.holds.push_back({ *hold, now + base::milliseconds(static_cast<std::int64_t>(lengthMs)),
                now + base::milliseconds(limitMs) });
        }
    }

    void stopWhenIdle(World& world, int index)
    {
        Process& process = processAt(world, index);
        for (const LoanReturn& loan : takeReturns(process.table, true, localNow(world, process)))
            giveBack(world, index, loan);
        const std::optional<SlotRecord> record = closeTable(process.table);
        if (record)
            writeStore(world, index, *record);
        if (!process.table.isClosed)
            return;
        // The process may end as soon as it is closed, also when the write is lost: its goodbye is a proof by itself.
        for (int peer = 0; peer < daemonCount; ++peer) {
            if (peer == index)
                continue;
            post(world, index, peer,
                [&world, peer, daemon = process.table.self, incarnation = process.table.incarnation] {
                    Process& receiver = processAt(world, peer);
                    onGone(receiver.table, daemon, incarnation, localNow(world, receiver));
                });
        }
        if (base::chance(world.rng, 0.3))
            crash(world, index);
    }

    void act(World& world, int index)
    {
        Process& process = processAt(world, index);
        useSlots(world, process);
        for (const LoanReturn& loan :
            takeReturns(process.table, base::chance(world.rng, 0.1), localNow(world, process)))
            giveBack(world, index, loan);
        if (world.nowMs >= process.nextHeartbeatMs) {
            process.nextHeartbeatMs = world.nowMs + 10;
            for (int peer = 0; peer < daemonCount; ++peer) {
                if (peer != index)
                    heartbeat(world, index, peer);
            }
        }
        if (world.nowMs >= process.nextReadMs) {
            process.nextReadMs = world.nowMs + 20;
            readStore(world, index);
        }
        if (process.isLeaving) {
            stopWhenIdle(world, index);
            return;
        }
        if (world.nowMs >= process.nextProposalMs) {
            process.nextProposalMs = world.nowMs + 10;
            if (const auto record = proposeRecord(process.table, localNow(world, process)))
                writeStore(world, index, *record);
        }
        if (process.isGreedy)
            askForLoan(world, index);
    }

    void deliver(World& world, Message& message)
    {
        if (message.to < 0) {
            if (world.isStoreUp)
                message.deliver();
            return;
        }
        Process& process = processAt(world, message.to);
        if (!process.isAlive)
            return;
        if (message.toIncarnation != 0 && message.toIncarnation != process.table.incarnation)
            return; // a reply to a connection of an earlier process
        if (process.isPaused)
            process.inbox.push_back(std::move(message.deliver));
        else
            message.deliver();
    }

} // namespace

base::DaemonId daemonName(int index) { return { "daemon" + std::to_string(index) }; }

base::EndpointId endpointName(int index) { return { "endpoint" + std::to_string(index) }; }

base::TimePoint localNow(const World& world, const Process& process)
{
    const double localUs = static_cast<double>(world.nowMs) * 1000.0 * process.clockRate;
    return base::TimePoint(base::Duration(static_cast<std::int64_t>(localUs) + 1));
}

void start(World& world, int index)
{
    Process& process = processAt(world, index);
    if (process.isAlive)
        return;
    process = Process {};
    process.isAlive = true;
    process.clockRate = 1.0 + (base::uniform(world.rng) - 0.5) * base::clockRateBound;
    process.table.limits = testLimits();
    process.table.self = daemonName(index);
    process.table.incarnation = ++world.incarnations[static_cast<std::size_t>(index)];
    std::vector<EndpointSize> sizes;
    sizes.reserve(endpointCount);
    for (int endpoint = 0; endpoint < endpointCount; ++endpoint)
        sizes.push_back({ endpointName(endpoint), 8 });
    setEndpoints(process.table, sizes);
}

void crash(World& world, int index)
{
    Process& process = processAt(world, index);
    process.isAlive = false;
    process.isPaused = false;
    process.holds.clear();
    process.inbox.clear();
}

void resume(World& world, int index)
{
    Process& process = processAt(world, index);
    if (!process.isAlive || !process.isPaused)
        return;
    process.isPaused = false;
    std::vector<std::function<void()>> waiting = std::move(process.inbox);
    process.inbox.clear();
    // New work may come between any two of the messages that waited.
    for (const std::function<void()>& message : waiting) {
        message();
        if (process.isAlive && base::chance(world.rng, 0.5))
            useSlots(world, process);
    }
}

void run(World& world, std::int64_t durationMs)
{
    const std::int64_t endMs = world.nowMs + durationMs;
    while (world.nowMs < endMs) {
        world.nowMs += stepMs;
        std::vector<Message> due;
        std::erase_if(world.messages, [&](Message& message) {
            const bool isDue = message.dueMs <= world.nowMs;
            if (isDue)
                due.push_back(std::move(message));
            return isDue;
        });
        std::stable_sort(due.begin(), due.end(), [](const Message& a, const Message& b) { return a.dueMs < b.dueMs; });
        for (Message& message : due)
            deliver(world, message);
        for (int index = 0; index < daemonCount; ++index) {
            const Process& process = processAt(world, index);
            if (process.isAlive && !process.isPaused)
                act(world, index);
        }
        if (!conflict(world).empty())
            return;
    }
}

std::string conflict(const World& world)
{
    for (int endpoint = 0; endpoint < endpointCount; ++endpoint) {
        SlotMask used = 0;
        for (const Process& process : world.processes) {
            if (!process.isAlive)
                continue;
            const base::TimePoint now = localNow(world, process);
            for (const Hold& hold : process.holds) {
                if (hold.hold.endpoint != endpointName(endpoint) || now >= hold.until)
                    continue;
                const SlotMask slot = SlotMask { 1 } << hold.hold.slot;
                if ((used & slot) != 0)
                    return endpointName(endpoint).value + '/' + std::to_string(hold.hold.slot) + " at "
                        + std::to_string(world.nowMs) + " ms";
                used |= slot;
            }
        }
    }
    return {};
}

} // namespace lacewing::routing::slotsWorld
