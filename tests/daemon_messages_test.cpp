// Tests of the translations between HTTP bodies, messages, store values and the structs of the decision modules.
#include "daemon/job_messages.h"
#include "daemon/slot_messages.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;

class MessagesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessagesTest);
    CPPUNIT_TEST(slotRecordSurvivesTheStore);
    CPPUNIT_TEST(invalidSlotRecordsAreRefused);
    CPPUNIT_TEST(slotAckSurvivesTheMessage);
    CPPUNIT_TEST(loanSurvivesTheMessage);
    CPPUNIT_TEST(jobSpecNamesTheWrongField);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a member or a removal mark that is lost on the way through the store: its slots would be given
    // to another daemon while it still uses them.
    void slotRecordSurvivesTheStore()
    {
        routing::SlotRecord record;
        record.version = 7;
        record.members = { { { "a" }, 1764831600000, 0, true }, { { "b" }, 2, 6, false } };
        const auto decoded = daemon::decodeSlotRecord(daemon::encodeSlotRecord(record));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(*decoded == record);
    }

    // Guards against a damaged record that is taken as an empty one, which would let this daemon own every slot.
    void invalidSlotRecordsAreRefused()
    {
        const std::vector<std::string> texts { "", "{}", "[]", R"({"version":0,"members":[]})", R"({"version":3})",
            R"({"version":3,"members":[{"daemon":""}]})",
            R"({"version":3,"members":[{"daemon":"a","incarnation":-1,"removingSince":0,"mayBeSole":false}]})",
            R"({"version":3,"members":[{"daemon":"a","incarnation":1,"removingSince":0}]})" };
        for (const std::string& text : texts)
            CPPUNIT_ASSERT_MESSAGE(text, !daemon::decodeSlotRecord(text).has_value());
    }

    // Guards against a busy slot or a silent member that is dropped from an acknowledgement.
    void slotAckSurvivesTheMessage()
    {
        routing::SlotAck ack;
        ack.daemon = { "a" };
        ack.incarnation = 5;
        ack.version = 9;
        ack.busy = { { { "e1" }, 0b1010'0001 }, { { "e2" }, routing::SlotMask(1) << 63 } };
        ack.silent = { { "b" } };
        codec::DaemonReport report;
        report.daemon = ack.daemon;
        report.incarnation = ack.incarnation;
        const routing::SlotAck back = daemon::toSlotAck(report, daemon::toMessage(ack));
        CPPUNIT_ASSERT(back.daemon == ack.daemon && back.incarnation == ack.incarnation && back.version == ack.version);
        CPPUNIT_ASSERT(back.busy == ack.busy);
        CPPUNIT_ASSERT(back.silent == ack.silent);
    }

    // Guards against a loan reply that is matched with another request or record version.
    void loanSurvivesTheMessage()
    {
        routing::LoanReply reply;
        reply.owner = { "a" };
        reply.ownerIncarnation = 3;
        reply.request = 11;
        reply.version = 4;
        reply.loan = 21;
        reply.endpoint = { "e" };
        reply.slots = 0b110;
        reply.leaseMs = 2000;
        const routing::LoanReply back = daemon::toLoanReply(daemon::toMessage(reply));
        CPPUNIT_ASSERT(
            back.owner == reply.owner && back.ownerIncarnation == 3 && back.request == 11 && back.version == 4);
        CPPUNIT_ASSERT(
            back.loan == 21 && back.endpoint == reply.endpoint && back.slots == reply.slots && back.leaseMs == 2000);
    }

    // Guards against a submission that is accepted with a misspelt or impossible field.
    void jobSpecNamesTheWrongField()
    {
        const auto wrongField = [](const char* text) -> std::string {
            const auto parsed = daemon::readJobSpec(text);
            const auto* error = std::get_if<daemon::FieldError>(&parsed);
            return error == nullptr ? "" : error->field.toStdString();
        };
        const char* valid
            = R"({"id":"j1","team":"t","service":"s","resources":{"cpuMilli":100,"memoryMb":10},"durationMs":5})";
        CPPUNIT_ASSERT_EQUAL(std::string(), wrongField(valid));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), wrongField("[1]"));
        CPPUNIT_ASSERT_EQUAL(std::string("id"), wrongField(R"({"id":"a/b","team":"t"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("teem"), wrongField(R"({"teem":"t"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("team"), wrongField(R"({"id":"j1"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("class"), wrongField(R"({"team":"t","service":"s","class":"quick"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("resources.cpuMilli"),
            wrongField(R"({"team":"t","service":"s","resources":{"cpuMilli":0,"memoryMb":1},"durationMs":5})"));
        CPPUNIT_ASSERT_EQUAL(std::string("durationMs"),
            wrongField(R"({"team":"t","service":"s","resources":{"cpuMilli":1,"memoryMb":1},"durationMs":1.5})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);

} // namespace
