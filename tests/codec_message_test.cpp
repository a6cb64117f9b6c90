// Tests of the messages between daemons: round trips in both codecs, limits and strict types.
#include "codec/codec.h"
#include "codec/fields.h"

#include <QCborMap>
#include <QCborValue>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing;
using namespace lacewing::codec;
using Code = CodecError::Code;

// Fills every field of a message with random values of the full range that messages allow.
struct Filler {
    template <typename T> void operator()(const char*, T& out) { fill(out); }
    template <typename T> void operator()(const char*, std::optional<T>& out)
    {
        if (*rc::gen::arbitrary<bool>())
            fill(out.emplace());
    }
    void fill(std::string& out)
    {
        // Printable ASCII, quotes, control characters and text of two and four bytes in UTF-8.
        static const std::vector<std::string> pieces { "a", "\"", "\\", "\n", "\x01", "/", "\u00e9", "\U0001F41D", " ",
            std::string(1, '\0') };
        for (const int piece : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10)))
            out += pieces[static_cast<std::size_t>(piece)];
    }
    template <typename Tag> void fill(base::Id<Tag>& out) { fill(out.value); }
    void fill(std::map<std::string, std::string>& out)
    {
        for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
            std::string key;
            fill(key);
            fill(out[key]);
        }
    }
    template <typename T> void fill(std::vector<T>& out)
    {
        for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
            fill(out.emplace_back());
    }
    template <typename T> void fill(T& out)
    {
        if constexpr (std::is_same_v<T, bool>) {
            out = *rc::gen::arbitrary<bool>();
        } else if constexpr (std::is_same_v<T, std::uint64_t>) {
            out = *rc::gen::arbitrary<std::uint64_t>() >> 1;
        } else if constexpr (std::is_integral_v<T>) {
            out = *rc::gen::oneOf(rc::gen::arbitrary<T>(), rc::gen::just(std::numeric_limits<T>::max()),
                rc::gen::just(std::numeric_limits<T>::min()));
        } else {
            visitFields(*this, out);
        }
    }
};

template <std::size_t index = 0> Message randomMessage(std::size_t wanted)
{
    if constexpr (index + 1 < std::variant_size_v<Message>) {
        if (wanted != index)
            return randomMessage<index + 1>(wanted);
    }
    Message message;
    Filler filler;
    visitFields(filler, message.emplace<index>());
    return message;
}

CodecError errorOf(const QByteArray& bytes, Codec codec, const CodecLimits& limits = {})
{
    const auto result = decode(bytes, codec, limits);
    CPPUNIT_ASSERT(!result);
    return result.error();
}

class CodecMessageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CodecMessageTest);
    CPPUNIT_TEST(everyMessageSurvivesBothCodecs);
    CPPUNIT_TEST(changedBytesNeverCrashAndReencodeEqually);
    CPPUNIT_TEST(limitsHoldBeforeValuesAreBuilt);
    CPPUNIT_TEST(falseLengthsAreRefused);
    CPPUNIT_TEST(bytesAfterTheValueAreRefused);
    CPPUNIT_TEST(wrongTypesAreNamedWithTheirField);
    CPPUNIT_TEST(missingFieldsAreRefusedAndUnknownOnesIgnored);
    CPPUNIT_TEST(integersOutOfRangeAreRefused);
    CPPUNIT_TEST(heartbeatFitsTheControlBudget);
    CPPUNIT_TEST(fullConfigurationFitsTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is missing in a table, or that one codec changes (64-bit integers, NUL, escapes).
    void everyMessageSurvivesBothCodecs()
    {
        for (std::size_t type = 0; type < std::variant_size_v<Message>; ++type) {
            CPPUNIT_ASSERT(rc::check([type] {
                const Message message = randomMessage(type);
                for (const Codec codec : { Codec::Cbor, Codec::Json }) {
                    const auto result = decode(encode(message, codec), codec);
                    RC_ASSERT(result.has_value());
                    RC_ASSERT(result.value() == message);
                }
            }));
        }
    }

    // Guards against a decoder that accepts bytes whose message it cannot encode again.
    void changedBytesNeverCrashAndReencodeEqually()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const Message message = randomMessage(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<Message>));
            const Codec codec = *rc::gen::element(Codec::Cbor, Codec::Json);
            QByteArray bytes = encode(message, codec);
            for (int changes = *rc::gen::inRange(1, 4); changes > 0; --changes)
                bytes[*rc::gen::inRange<qsizetype>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            const auto result = decode(bytes, codec);
            if (!result)
                return;
            const auto again = decode(encode(result.value(), codec), codec);
            RC_ASSERT(again.has_value());
            RC_ASSERT(again.value() == result.value());
        }));
    }

    // Guards against memory or stack use that grows with hostile input.
    void limitsHoldBeforeValuesAreBuilt()
    {
        CodecLimits limits;
        limits.maxBytes = 1000;
        CPPUNIT_ASSERT(errorOf(QByteArray(1001, ' '), Codec::Json, limits).code == Code::TooLarge);
        CPPUNIT_ASSERT(errorOf(QByteArray(1001, '\0'), Codec::Cbor, limits).code == Code::TooLarge);
        CPPUNIT_ASSERT(errorOf(QByteArray(100'000, '['), Codec::Json).code == Code::TooDeep);
        CPPUNIT_ASSERT(errorOf(QByteArray(100'000, '\x81'), Codec::Cbor).code == Code::TooDeep);
        QByteArray wide("[");
        for (int item = 0; item < 200'000; ++item)
            wide += "1,";
        CPPUNIT_ASSERT(errorOf(wide + "1]", Codec::Json).code == Code::TooManyItems);
        QByteArray wideCbor = QByteArray::fromHex("9a00030d40"); // array of 200,000
        CPPUNIT_ASSERT(errorOf(wideCbor + QByteArray(200'000, '\x01'), Codec::Cbor).code == Code::TooManyItems);
    }

    // Guards against an allocation for the length that a header claims.
    void falseLengthsAreRefused()
    {
        for (const char* hex : { "9affffffff", "bb7fffffffffffffff", "bbffffffffffffffff", "7b7fffffffffffffff",
                 "5bffffffffffffffff", "a16474797065", "1b00", "", "9f", "bf", "c0", "ff", "1c" })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                hex, int(Code::Malformed), int(errorOf(QByteArray::fromHex(hex), Codec::Cbor).code));
    }

    // Guards against two messages in one that different readers split differently.
    void bytesAfterTheValueAreRefused()
    {
        for (const Codec codec : { Codec::Cbor, Codec::Json }) {
            const QByteArray bytes = encode(Ack { { "d1" }, 1, 2 }, codec);
            CPPUNIT_ASSERT(errorOf(bytes + bytes, codec).code == Code::Malformed);
        }
    }

    // Guards against silent conversions, such as "7" or 7.5 read as 7.
    void wrongTypesAreNamedWithTheirField()
    {
        const auto check = [](const char* json, const char* field) {
            const CodecError error = errorOf(json, Codec::Json);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(json, int(Code::WrongType), int(error.code));
            CPPUNIT_ASSERT_EQUAL(std::string(field), error.detail.substr(0, error.detail.find(':')));
        };
        check(R"({"type":"ack","daemon":7,"incarnation":1,"revision":1})", "daemon");
        check(R"({"type":"ack","daemon":"d","incarnation":"7","revision":1})", "incarnation");
        check(R"({"type":"ack","daemon":"d","incarnation":7.5,"revision":1})", "incarnation");
        check(R"({"type":"ack","daemon":"d","incarnation":true,"revision":1})", "incarnation");
        check(R"({"type":"goodbye","daemon":"d","incarnation":1,"shards":"x"})", "shards");
        check(R"({"type":"goodbye","daemon":"d","incarnation":1,"shards":["a",1]})", "shards[1]");
        check(R"({"type":"heartbeatReply","report":[]})", "report");
        check(
            R"({"type":"configPush","revision":1,"author":"","timeMs":1,"comment":"","operation":"","files":{"a":1}})",
            "files");
        check(R"([])", "expected an object");
    }

    // Guards against a half-filled message, and against a fleet that cannot run two versions at the same time.
    void missingFieldsAreRefusedAndUnknownOnesIgnored()
    {
        CPPUNIT_ASSERT(
            errorOf(R"({"type":"ack","daemon":"d","incarnation":1})", Codec::Json).code == Code::MissingField);
        CPPUNIT_ASSERT(errorOf(R"({"daemon":"d"})", Codec::Json).code == Code::MissingField);
        CPPUNIT_ASSERT(errorOf(R"({"type":"ackk"})", Codec::Json).code == Code::UnknownType);
        const auto result
            = decode(R"({"type":"ack","daemon":"d","incarnation":1,"revision":2,"later":[1]})", Codec::Json);
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT(result.value() == Message(Ack { { "d" }, 1, 2 }));
    }

    // Guards against negative revisions that wrap to huge ones, which would never be replaced.
    void integersOutOfRangeAreRefused()
    {
        CPPUNIT_ASSERT(errorOf(R"({"type":"ack","daemon":"d","incarnation":1,"revision":-1})", Codec::Json).code
            == Code::OutOfRange);
        CPPUNIT_ASSERT(
            errorOf(R"({"type":"ack","daemon":"d","incarnation":1,"revision":9223372036854775808})", Codec::Json).code
            == Code::WrongType);
        CPPUNIT_ASSERT(
            errorOf(
                R"({"type":"slotLoan","borrower":"d","incarnation":1,"request":1,"recordVersion":1,"endpoint":"e","count":4294967296})",
                Codec::Json)
                .code
            == Code::OutOfRange);
    }

    // Guards against heartbeats that use up the control budget of 2 KB/s: with 3 daemons in a data centre each daemon
    // sends and receives 2 questions and 2 replies a second, so 4 x (question + reply) must stay below 2,000 bytes
    // less the digests of the representative.
    void heartbeatFitsTheControlBudget()
    {
        DaemonReport report;
        report.daemon = { "entry-0123456789" };
        report.dataCentre = { "region-7-dc-24" };
        report.incarnation = 1'796'367'600'000;
        report.peerAddress = "10.123.123.123:47100";
        report.gatewayAddress = "10.123.123.123:48080";
        report.revision = 10'000'000;
        report.storeReadAgeMs = 1999;
        const Heartbeat question { report.daemon, report.dataCentre, report.incarnation, report.peerAddress };
        const HeartbeatReply reply { report, SlotStatement { 1'000'000, {}, { { "entry-9876543210" } } } };
        const qsizetype questionBytes = encode(question, Codec::Cbor).size();
        const qsizetype replyBytes = encode(reply, Codec::Cbor).size();
        CPPUNIT_ASSERT(replyBytes < 500);
        CPPUNIT_ASSERT(questionBytes < 150);
        const qsizetype digestBytesPerSecond = 200;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(questionBytes) + " + " + std::to_string(replyBytes),
            4 * (questionBytes + replyBytes) < 2000 - digestBytesPerSecond);
    }

    // Guards against a configuration of the permitted size (1 MB) that cannot be relayed.
    void fullConfigurationFitsTheLimit()
    {
        ConfigPush push;
        push.revision = 1;
        for (int file = 0; file < 100; ++file)
            push.files["file-" + std::to_string(file)] = std::string(10'000, '"');
        for (const Codec codec : { Codec::Cbor, Codec::Json }) {
            const auto result = decode(encode(push, codec), codec);
            CPPUNIT_ASSERT(result.has_value());
            CPPUNIT_ASSERT(result.value() == Message(push));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecMessageTest);

} // namespace
