// Property tests of the slot split: no slot is used twice in random histories of pauses, crashes, partitions, lost,
// repeated and late messages and store outages; after the faults end, every slot is in use again.
#include "routing_slots_world.h"

#include <bit>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing;
using namespace lacewing::routing;
using namespace lacewing::routing::slotsWorld;

enum class Kind {
    Run,
    Pause,
    Resume,
    Crash,
    Start,
    Leave,
    Split,
    Join,
    StoreDown,
    StoreUp,
    CutStore,
    JoinStore,
    Lossy,
    Late,
    Clean,
    Restart
};
constexpr int kindCount = 16;

struct Action {
    int kind = 0;
    int target = 0;
    int lengthMs = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action)
{
    return out << action.kind << ':' << action.target << ':' << action.lengthMs;
}

rc::Gen<Action> anyAction()
{
    return rc::gen::build<Action>(rc::gen::set(&Action::kind, rc::gen::inRange(0, kindCount)),
        rc::gen::set(&Action::target, rc::gen::inRange(0, daemonCount)),
        rc::gen::set(&Action::lengthMs, rc::gen::inRange(5, 500)));
}

void apply(World& world, const Action& action)
{
    const auto target = static_cast<std::size_t>(action.target);
    Process& process = world.processes[target];
    switch (static_cast<Kind>(action.kind)) {
    case Kind::Run:
        run(world, std::int64_t { 4 } * action.lengthMs); // long enough for removals
        break;
    case Kind::Pause:
        process.isPaused = process.isAlive;
        break;
    case Kind::Resume:
        resume(world, action.target);
        break;
    case Kind::Crash:
        crash(world, action.target);
        break;
    case Kind::Restart:
        crash(world, action.target);
        start(world, action.target);
        break;
    case Kind::Start:
        start(world, action.target);
        break;
    case Kind::Leave:
        process.isLeaving = process.isAlive;
        break;
    case Kind::Split:
        world.groups[target] = action.lengthMs % 2 + 1; // two daemons may be cut off together
        break;
    case Kind::Join:
        world.groups[target] = 0;
        break;
    case Kind::StoreDown:
        world.isStoreUp = false;
        break;
    case Kind::StoreUp:
        world.isStoreUp = true;
        break;
    case Kind::CutStore:
        process.isStoreCut = true;
        break;
    case Kind::JoinStore:
        process.isStoreCut = false;
        break;
    case Kind::Lossy:
        world.lossShare = 0.3;
        break;
    case Kind::Late:
        world.delayMaxMs = 100;
        break;
    case Kind::Clean:
        world.lossShare = 0.02;
        world.delayMaxMs = 10;
        break;
    }
    run(world, action.lengthMs);
}

World startWorld(std::uint64_t seed)
{
    World world(seed);
    for (int index = 0; index < daemonCount - 1; ++index)
        start(world, index);
    run(world, 400);
    return world;
}

void endFaults(World& world)
{
    world.isStoreUp = true;
    world.lossShare = 0;
    world.delayMaxMs = 10;
    world.groups.assign(daemonCount, 0);
    for (int index = 0; index < daemonCount; ++index) {
        Process& process = world.processes[static_cast<std::size_t>(index)];
        process.isStoreCut = false;
        resume(world, index);
    }
}

// Daemons that were lost together, or that may believe to be the only one, are replaced under their names, because
// their silence proves nothing. A single other one is left to be removed for its silence.
void replaceLost(World& world)
{
    int lost = 0;
    for (int index = 0; index < daemonCount; ++index) {
        if (world.processes[static_cast<std::size_t>(index)].isAlive)
            continue;
        const bool mayBeSole = std::any_of(world.record.members.begin(), world.record.members.end(),
            [&](const RecordMember& member) { return member.daemon == daemonName(index) && member.mayBeSole; });
        if (mayBeSole || ++lost > 1)
            start(world, index);
    }
}

int slotsGranted(const World& world)
{
    int sum = 0;
    for (const Process& process : world.processes) {
        if (process.isAlive && !isStopped(process.table, localNow(world, process)))
            sum += grantedSlots(process.table);
    }
    return sum;
}

class SlotsPropertyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlotsPropertyTest);
    CPPUNIT_TEST(noSlotIsUsedTwiceInRandomHistories);
    CPPUNIT_TEST(allSlotsAreUsedAgainAfterFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two daemons that use the same slot (I11), in any order of faults.
    void noSlotIsUsedTwiceInRandomHistories()
    {
        std::uint64_t acquired = 0;
        std::uint64_t lent = 0;
        const bool isHeld = rc::check("no slot is used twice", [&](std::uint64_t seed) {
            const auto actions = *rc::gen::container<std::vector<Action>>(anyAction());
            World world = startWorld(seed);
            for (const Action& action : actions) {
                apply(world, action);
                const std::string found = conflict(world);
                if (!found.empty())
                    RC_FAIL(found);
            }
            acquired += world.acquired;
            lent += world.lent;
        });
        CPPUNIT_ASSERT(isHeld);
        // A model in which nothing is used or lent would prove nothing.
        CPPUNIT_ASSERT(acquired > 10000);
        CPPUNIT_ASSERT(lent > 1000);
    }

    // Guards against slots that stay unused for ever after a crash, pause or partition.
    void allSlotsAreUsedAgainAfterFaults()
    {
        const bool isHeld = rc::check("all slots are used again", [&](std::uint64_t seed) {
            const auto actions = *rc::gen::container<std::vector<Action>>(anyAction());
            World world = startWorld(seed);
            for (const Action& action : actions)
                apply(world, action);
            endFaults(world);
            run(world, 600); // planned stops end; they can leave a lost daemon as the only member
            replaceLost(world);
            // Removal takes silence, isolation and the longest request; each change of the record some rounds.
            run(world, 4000);
            const std::string found = conflict(world);
            if (!found.empty())
                RC_FAIL(found);
            const bool isAnyLeft = std::any_of(world.processes.begin(), world.processes.end(),
                [](const Process& process) { return process.isAlive && !process.isLeaving; });
            RC_PRE(isAnyLeft);
            RC_ASSERT(slotsGranted(world) == 8 * endpointCount);
        });
        CPPUNIT_ASSERT(isHeld);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsPropertyTest);

} // namespace
