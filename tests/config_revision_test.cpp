// Tests of the checks of proposals, the stored value, the history and the active revision of a daemon.
#include "config/revision.h"

#include "base/rng.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>

namespace {

using namespace lacewing::config; // NOLINT(google-build-using-namespace)
using lacewing::base::Revision;

Files filesWith(const std::string& team) { return { { "a.json", R"({"teams":{")" + team + R"(":{}}})" } }; }

Proposal proposalOf(Revision expected, const std::string& operation, Files files)
{
    return { expected, "operator of " + operation, "comment", operation, std::move(files) };
}

StoredConfig storedOf(Revision revision, const std::string& team)
{
    StoredConfig stored;
    stored.revision = revision;
    stored.author = "first";
    stored.files = filesWith(team);
    return stored;
}

Accepted acceptedOf(const Decision& decision)
{
    CPPUNIT_ASSERT(std::holds_alternative<Accepted>(decision));
    return std::get<Accepted>(decision);
}

// Fake store: one value with compare-and-swap on its version.
struct FakeStore {
    StoredConfig value;
    int version = 0;
};

// An operator who proposes a change and retries the same operation when the reply is lost.
struct Operator {
    enum class Step { Propose, Write, Repeat, Done };

    Step step = Step::Propose;
    Proposal proposal;
    Decision decision;
    int readVersion = 0;   // version of the value that `decision` is based on
    Revision accepted = 0; // revision reported to the operator; 0: none
    bool hasConflict = false;
};

// Runs the next step of an operator. The daemon's read and its compare-and-swap are separate steps, so that the steps
// of other operators can be interleaved.
void runStep(Operator& op, FakeStore& store, std::vector<StoredConfig>& log, bool isReplyLost)
{
    switch (op.step) {
    case Operator::Step::Propose:
    case Operator::Step::Repeat:
        op.decision = decide(store.value, op.proposal, 1000);
        op.readVersion = store.version;
        if (const auto* accepted = std::get_if<Accepted>(&op.decision)) {
            if (accepted->outcome == Accepted::Outcome::New) {
                op.step = Operator::Step::Write;
                return;
            }
            op.accepted = accepted->revision;
        } else {
            op.hasConflict = true;
        }
        op.step = Operator::Step::Done;
        return;
    case Operator::Step::Write:
        if (store.version != op.readVersion) {
            op.step = Operator::Step::Repeat; // the swap failed: decide again with the new value
            return;
        }
        store.value = std::get<Accepted>(op.decision).next;
        ++store.version;
        log.push_back(store.value);
        op.accepted = isReplyLost ? 0 : store.value.revision;
        op.step = isReplyLost ? Operator::Step::Repeat : Operator::Step::Done;
        return;
    case Operator::Step::Done:
        return;
    }
}

class RevisionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RevisionTest);
    CPPUNIT_TEST(secondOperatorGetsAConflictThatNamesTheWinner);
    CPPUNIT_TEST(repeatedOperationIsASuccess);
    CPPUNIT_TEST(repeatIsRecognisedAfterLaterRevisions);
    CPPUNIT_TEST(reusedIdentityForOtherFilesIsRefused);
    CPPUNIT_TEST(unchangedContentIsNoNewRevision);
    CPPUNIT_TEST(invalidProposalsAreRefused);
    CPPUNIT_TEST(racingProposalsHaveOneWinner);
    CPPUNIT_TEST(storedValueSurvivesARoundTrip);
    CPPUNIT_TEST(storedValueIsBounded);
    CPPUNIT_TEST(brokenStoredValuesAreRefused);
    CPPUNIT_TEST(historyEntriesSurviveARoundTrip);
    CPPUNIT_TEST(activeRevisionNeverDecreases);
    CPPUNIT_TEST(activeConfigIsProvisionalUntilTheStoreConfirms);
    CPPUNIT_TEST(invalidRevisionEndsTheConfirmation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lost update: an operator overwrites a change that was accepted after his read.
    void secondOperatorGetsAConflictThatNamesTheWinner()
    {
        const StoredConfig before = storedOf(4, "t");
        const Accepted winner = acceptedOf(decide(before, proposalOf(4, "op1", filesWith("u")), 1'700'000'000'000));
        CPPUNIT_ASSERT(winner.outcome == Accepted::Outcome::New);
        CPPUNIT_ASSERT_EQUAL(Revision(5), winner.next.revision);
        const Decision loser = decide(winner.next, proposalOf(4, "op2", filesWith("v")), 2);
        CPPUNIT_ASSERT(std::holds_alternative<Conflict>(loser));
        CPPUNIT_ASSERT_EQUAL(std::string("operator of op1 changed the configuration to revision 5 at "
                                         "2023-11-14T22:13:20Z (\"comment\"); you saw revision 4"),
            describe(std::get<Conflict>(loser)));
        CPPUNIT_ASSERT(std::holds_alternative<Conflict>(decide(before, proposalOf(9, "op3", filesWith("v")), 2)));
    }

    // Guards against reporting a conflict with the operator's own accepted change when he retries after a lost reply.
    void repeatedOperationIsASuccess()
    {
        const Proposal proposal = proposalOf(4, "op1", filesWith("u"));
        const StoredConfig after = acceptedOf(decide(storedOf(4, "t"), proposal, 1)).next;
        const Accepted repeat = acceptedOf(decide(after, proposal, 2));
        CPPUNIT_ASSERT(repeat.outcome == Accepted::Outcome::Repeated);
        CPPUNIT_ASSERT_EQUAL(Revision(5), repeat.revision);
        CPPUNIT_ASSERT(repeat.next == after);
    }

    // Guards against reporting a conflict for an accepted operation that is retried after other changes. Operations
    // beyond the bound of the list are no longer recognised.
    void repeatIsRecognisedAfterLaterRevisions()
    {
        const Proposal proposal = proposalOf(4, "op", filesWith("u"));
        StoredConfig value = acceptedOf(decide(storedOf(4, "t"), proposal, 1)).next;
        for (std::size_t count = 1; count < maximumRecentOperations; ++count) {
            const std::string name = "x" + std::to_string(count);
            value = acceptedOf(decide(value, proposalOf(value.revision, name, filesWith(name)), 1)).next;
        }
        CPPUNIT_ASSERT_EQUAL(Revision(5), acceptedOf(decide(value, proposal, 2)).revision);
        value = acceptedOf(decide(value, proposalOf(value.revision, "last", filesWith("last")), 1)).next;
        CPPUNIT_ASSERT_EQUAL(maximumRecentOperations, value.recent.size());
        CPPUNIT_ASSERT(std::holds_alternative<Conflict>(decide(value, proposal, 2)));
    }

    // Guards against reporting a change as accepted because an earlier one used the same operation ID.
    void reusedIdentityForOtherFilesIsRefused()
    {
        const StoredConfig after = acceptedOf(decide(storedOf(4, "t"), proposalOf(4, "op", filesWith("u")), 1)).next;
        CPPUNIT_ASSERT(std::holds_alternative<Refused>(decide(after, proposalOf(5, "op", filesWith("v")), 2)));
    }

    // Guards against new revisions without a change, which every daemon would relay.
    void unchangedContentIsNoNewRevision()
    {
        const Accepted same = acceptedOf(decide(storedOf(4, "t"), proposalOf(4, "op", filesWith("t")), 1));
        CPPUNIT_ASSERT(same.outcome == Accepted::Outcome::Unchanged);
        CPPUNIT_ASSERT_EQUAL(Revision(4), same.revision);
        CPPUNIT_ASSERT(
            acceptedOf(decide(StoredConfig(), proposalOf(0, "op", {}), 1)).outcome == Accepted::Outcome::New);
    }

    // Guards against invalid files or metadata replacing the last accepted configuration.
    void invalidProposalsAreRefused()
    {
        const auto isRefused = [](const Proposal& proposal) {
            return std::holds_alternative<Refused>(decide(storedOf(4, "t"), proposal, 1));
        };
        CPPUNIT_ASSERT(isRefused(proposalOf(4, "op", { { "a.json", "{\"x\":1}" } })));
        CPPUNIT_ASSERT(isRefused(proposalOf(4, "op", { { "a.json", "{" } })));
        CPPUNIT_ASSERT(isRefused(proposalOf(4, "", filesWith("u"))));
        CPPUNIT_ASSERT(isRefused({ 4, "", "", "op", filesWith("u") }));
        CPPUNIT_ASSERT(isRefused({ 4, "author", std::string(3000, 'c'), "op", filesWith("u") }));
    }

    // Guards against two accepted changes based on one revision, and against a change that is lost or stored contrary
    // to what its operator was told. Random interleavings of reads, swaps and lost replies.
    void racingProposalsHaveOneWinner()
    {
        CPPUNIT_ASSERT(rc::check("racing operators", [](std::uint64_t seed) {
            lacewing::base::Rng rng(seed);
            FakeStore store { storedOf(7, "t"), 1 };
            std::vector<StoredConfig> log;
            std::vector<Operator> operators(2 + lacewing::base::below(rng, 5));
            for (std::size_t index = 0; index < operators.size(); ++index) {
                const std::string name = "op" + std::to_string(index);
                operators[index].proposal = proposalOf(7, name, filesWith(name));
            }
            for (std::size_t done = 0; done < operators.size();) {
                Operator& op = operators[lacewing::base::below(rng, operators.size())];
                const bool wasDone = op.step == Operator::Step::Done;
                runStep(op, store, log, lacewing::base::chance(rng, 0.4));
                done += !wasDone && op.step == Operator::Step::Done ? 1 : 0;
            }
            // All saw revision 7, so exactly one change is accepted and every other operator gets a conflict.
            RC_ASSERT(log.size() == 1U);
            RC_ASSERT(store.value.revision == 8U);
            int winners = 0;
            for (const Operator& op : operators) {
                RC_ASSERT((op.accepted > 0) != op.hasConflict);
                RC_ASSERT((op.accepted > 0) == (store.value.operation == op.proposal.operation));
                winners += op.accepted > 0 ? 1 : 0;
                if (op.hasConflict)
                    RC_ASSERT(std::get<Conflict>(op.decision).author == store.value.author);
            }
            RC_ASSERT(winners == 1);
        }));
    }

    // Guards against fields that are lost when the stored value is encoded and decoded.
    void storedValueSurvivesARoundTrip()
    {
        StoredConfig stored
            = acceptedOf(decide(storedOf(4, "t"), proposalOf(4, "op", filesWith("u")), 1'764'000'000'123)).next;
        stored.comment = "quote \" line\n \xC3\xA4";
        const auto text = encode(stored);
        CPPUNIT_ASSERT(text.has_value());
        const auto decoded = decodeStored(text.value());
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(decoded.value() == stored);
        CPPUNIT_ASSERT_EQUAL(std::string("config/history/000000000042"), historyKey(42));
    }

    // Guards against an encoded value above the store's limit: JSON escaping enlarges files that are within their
    // bounds.
    void storedValueIsBounded()
    {
        Files files;
        for (int index = 0; index < 8; ++index) {
            std::string text = "{";
            for (int key = 0; key < 10'000; ++key)
                text += "\n";
            files["f" + std::to_string(index) + ".json"] = text + std::string(100'000, '\n') + "}";
        }
        CPPUNIT_ASSERT(parseFiles(files).has_value());
        const auto refused = checkProposal(files);
        CPPUNIT_ASSERT(refused.has_error());
        CPPUNIT_ASSERT(refused.error()[0].code == ConfigError::Code::TooLarge);
        files.erase("f7.json");
        files.erase("f6.json");
        files.erase("f5.json");
        files.erase("f4.json");
        CPPUNIT_ASSERT(checkProposal(files).has_value());
    }

    // Guards against a corrupted stored value being read as an empty configuration.
    void brokenStoredValuesAreRefused()
    {
        for (const std::string text :
            { "", "[]", "{}", R"({"revision":-1,"time":1,"author":"","comment":"","operation":"","files":{}})",
                R"({"revision":1.5,"time":1,"author":"","comment":"","operation":"","files":{}})",
                R"({"revision":1,"time":1,"author":"","comment":"","operation":"","files":[]})",
                R"({"revision":1,"time":1,"author":"","comment":"","operation":"","files":{"a":1}})",
                R"({"revision":1,"time":1,"author":"","comment":"","operation":"","files":{},"recent":[1]})" })
            CPPUNIT_ASSERT_MESSAGE(text, decodeStored(text).has_error());
        CPPUNIT_ASSERT(
            decodeStored(R"({"revision":1,"time":1,"author":"","comment":"","operation":"","files":{}})").has_value());
    }

    // Guards against history entries that lose the author or the changes when they are encoded and decoded.
    void historyEntriesSurviveARoundTrip()
    {
        const StoredConfig before = storedOf(4, "t");
        const StoredConfig after = acceptedOf(decide(before, proposalOf(4, "op", filesWith("u")), 99)).next;
        const HistoryEntry entry = historyEntry(before, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.totalChanges);
        CPPUNIT_ASSERT_EQUAL(std::string("operator of op"), entry.author);
        const auto decoded = decodeHistoryEntry(encode(entry));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(decoded.value() == entry);
    }

    // Guards against a delayed or repeated push that reactivates an older configuration.
    void activeRevisionNeverDecreases()
    {
        CPPUNIT_ASSERT(rc::check("active revision never decreases", [](std::uint64_t seed) {
            lacewing::base::Rng rng(seed);
            ActiveConfig active;
            Revision highest = 0;
            for (int step = 0; step < 40; ++step) {
                const Revision revision = lacewing::base::below(rng, 12);
                const auto source
                    = lacewing::base::chance(rng, 0.5) ? ActiveConfig::Source::Store : ActiveConfig::Source::Peer;
                const Revision before = active.revision();
                const bool wasConfirmed = active.isConfirmed();
                active.offer(storedOf(revision, "t" + std::to_string(revision)), source);
                highest = std::max(highest, revision);
                RC_ASSERT(active.revision() >= before);
                RC_ASSERT(active.revision() == highest);
                RC_ASSERT(active.isReady() == (highest > 0));
                RC_ASSERT(!wasConfirmed || active.isConfirmed());
                if (active.isReady())
                    RC_ASSERT(active.policy()->teams.contains({ "t" + std::to_string(highest) }));
            }
        }));
    }

    // Guards against starting batch work under a revision that was received from peers only.
    void activeConfigIsProvisionalUntilTheStoreConfirms()
    {
        ActiveConfig active;
        CPPUNIT_ASSERT(!active.isReady());
        CPPUNIT_ASSERT(active.offer(StoredConfig(), ActiveConfig::Source::Store) == ActiveConfig::Outcome::Older);
        CPPUNIT_ASSERT(!active.isReady());
        CPPUNIT_ASSERT(active.offer(storedOf(3, "t"), ActiveConfig::Source::Peer) == ActiveConfig::Outcome::Adopted);
        CPPUNIT_ASSERT(active.isReady() && !active.isConfirmed());
        CPPUNIT_ASSERT(active.offer(storedOf(4, "u"), ActiveConfig::Source::Peer) == ActiveConfig::Outcome::Adopted);
        CPPUNIT_ASSERT(!active.isConfirmed());
        active.confirm(3);
        CPPUNIT_ASSERT(!active.isConfirmed());
        CPPUNIT_ASSERT(active.offer(storedOf(3, "t"), ActiveConfig::Source::Store) == ActiveConfig::Outcome::Older);
        CPPUNIT_ASSERT(!active.isConfirmed());
        CPPUNIT_ASSERT(active.offer(storedOf(4, "u"), ActiveConfig::Source::Store) == ActiveConfig::Outcome::Confirmed);
        CPPUNIT_ASSERT(active.isConfirmed());
        CPPUNIT_ASSERT(active.offer(storedOf(4, "u"), ActiveConfig::Source::Store) == ActiveConfig::Outcome::Same);
        CPPUNIT_ASSERT(
            active.offer(storedOf(4, "other"), ActiveConfig::Source::Peer) == ActiveConfig::Outcome::Mismatch);
        CPPUNIT_ASSERT(active.policy()->teams.contains({ "u" }));
        CPPUNIT_ASSERT(active.offer(storedOf(5, "v"), ActiveConfig::Source::Peer) == ActiveConfig::Outcome::Adopted);
        CPPUNIT_ASSERT(active.isConfirmed());
        ActiveConfig provisional;
        provisional.offer(storedOf(4, "damaged"), ActiveConfig::Source::Peer);
        CPPUNIT_ASSERT(
            provisional.offer(storedOf(4, "u"), ActiveConfig::Source::Store) == ActiveConfig::Outcome::Mismatch);
        CPPUNIT_ASSERT(provisional.policy()->teams.contains({ "u" }));
        CPPUNIT_ASSERT(provisional.isConfirmed());
    }

    // Guards against a daemon that keeps starting tasks although a later revision exists that it cannot read.
    void invalidRevisionEndsTheConfirmation()
    {
        ActiveConfig active;
        active.offer(storedOf(4, "u"), ActiveConfig::Source::Store);
        StoredConfig bad = storedOf(6, "v");
        bad.files["b.json"] = "{\"batch\":{\"attempts\":-5}}";
        CPPUNIT_ASSERT(active.offer(bad, ActiveConfig::Source::Peer) == ActiveConfig::Outcome::Invalid);
        CPPUNIT_ASSERT_EQUAL(Revision(4), active.revision());
        CPPUNIT_ASSERT(active.isReady() && !active.isConfirmed());
        active.confirm(4);
        active.offer(storedOf(4, "u"), ActiveConfig::Source::Store);
        active.offer(storedOf(5, "w"), ActiveConfig::Source::Store);
        CPPUNIT_ASSERT_EQUAL(Revision(5), active.revision());
        CPPUNIT_ASSERT(!active.isConfirmed());
        active.offer(storedOf(7, "x"), ActiveConfig::Source::Store);
        CPPUNIT_ASSERT(active.isConfirmed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionTest);

} // namespace
