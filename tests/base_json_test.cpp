// Tests of the JSON parser with line numbers and of schema validation.
#include "base/json.h"
#include "base/schema.h"

#include <QJsonArray>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace {

using namespace lacewing::base; // NOLINT(google-build-using-namespace)

constexpr Field listenFields[] = {
    { .key = "host", .type = FieldType::Text, .minimum = 1, .maximum = 20, .isRequired = true, .doc = "address" },
    { .key = "port", .type = FieldType::Integer, .minimum = 1, .maximum = 65535, .defaultJson = "8080", .doc = "port" },
};
constexpr Rule limitRules[] = {
    { "low", "low is less than high",
        [](const QJsonObject& object) { return object["low"].toDouble() < object["high"].toDouble(); } },
};
constexpr Field limitFields[] = {
    { .key = "low", .type = FieldType::Number, .minimum = 0, .maximum = 1, .defaultJson = "0.2", .unit = "share" },
    { .key = "high", .type = FieldType::Number, .minimum = 0, .maximum = 1, .defaultJson = "0.8", .unit = "share" },
};
constexpr Field rootFields[] = {
    { .key = "listen", .type = FieldType::Object, .doc = "HTTP", .fields = listenFields },
    { .key = "limits", .type = FieldType::ObjectMap, .doc = "limits", .fields = limitFields, .rules = limitRules },
    { .key = "codec", .type = FieldType::Choice, .choices = "cbor|json", .defaultJson = "\"cbor\"", .doc = "codec" },
    { .key = "tags", .type = FieldType::TextList, .minimum = 0, .maximum = 2, .defaultJson = "[]", .doc = "tags" },
    { .key = "verbose", .type = FieldType::Boolean, .defaultJson = "false", .doc = "logs" },
};
constexpr Schema rootSchema { rootFields };

InputErrors check(const std::string& text)
{
    const auto parsed = parseJsonObject(text, "s.json");
    CPPUNIT_ASSERT(parsed.has_value());
    return checkSchema(parsed.value().object, rootSchema, locatorFor("s.json", parsed.value().keys));
}

InputError onlyError(const Result<ParsedJson, InputErrors>& result)
{
    CPPUNIT_ASSERT(result.has_error());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.error().size());
    return result.error()[0];
}

class JsonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(syntaxErrorNamesFileAndLine);
    CPPUNIT_TEST(everyDuplicateKeyIsReported);
    CPPUNIT_TEST(boundsHoldBeforeParsing);
    CPPUNIT_TEST(pathsOfUnusualKeysAreDistinct);
    CPPUNIT_TEST(linesAreFoundInsideArraysAndMalformedText);
    CPPUNIT_TEST(longValuesAreCutAtCharacterBoundaries);
    CPPUNIT_TEST(schemaReportsAllFaultsInOnePass);
    CPPUNIT_TEST(schemaAcceptsDefaults);
    CPPUNIT_TEST(ruleIsNotCheckedOnInvalidValues);
    CPPUNIT_TEST(schemaListsEveryKey);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against errors that give only a byte offset, which operators cannot use.
    void syntaxErrorNamesFileAndLine()
    {
        const InputError error = onlyError(parseJsonObject("{\n  \"a\": 1,\n  \"b\": tru\n}", "x.json"));
        CPPUNIT_ASSERT(error.code == InputError::Code::Syntax);
        CPPUNIT_ASSERT_EQUAL(std::string("x.json"), error.file);
        CPPUNIT_ASSERT_EQUAL(3, error.line);
        CPPUNIT_ASSERT(onlyError(parseJsonObject("[1]", "x.json")).code == InputError::Code::NotAnObject);
        CPPUNIT_ASSERT(onlyError(parseJsonObject("", "x.json")).code == InputError::Code::Syntax);
    }

    // Guards against QJsonDocument's silent choice of the last of two equal keys, also when one is escaped.
    void everyDuplicateKeyIsReported()
    {
        const auto result = parseJsonObject("{\"a\":1,\n\"b\":{\"c\":1,\n\"c\":2},\n\"\\u0061\":3}", "x.json");
        CPPUNIT_ASSERT(result.has_error());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), result.error().size());
        CPPUNIT_ASSERT_EQUAL(std::string("b.c"), result.error()[0].key);
        CPPUNIT_ASSERT_EQUAL(3, result.error()[0].line);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), result.error()[1].key);
        CPPUNIT_ASSERT_EQUAL(4, result.error()[1].line);
    }

    // Guards against stack or memory exhaustion by malicious input.
    void boundsHoldBeforeParsing()
    {
        const std::string deep = "{\"a\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
        CPPUNIT_ASSERT(onlyError(parseJsonObject(deep, "x.json")).code == InputError::Code::TooDeep);
        CPPUNIT_ASSERT(
            onlyError(parseJsonObject("{\"a\":{}}", "x.json", { 4, 32 })).code == InputError::Code::TooLarge);
        CPPUNIT_ASSERT(parseJsonObject("{\"a\":{}}", "x.json", { 100, 2 }).has_value());
        CPPUNIT_ASSERT(
            onlyError(parseJsonObject("{\"a\":{}}", "x.json", { 100, 1 })).code == InputError::Code::TooDeep);
    }

    // Guards against two different keys that share a path in errors and differences.
    void pathsOfUnusualKeysAreDistinct()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a.b"), childPath("a", "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("a[\"b.c\"]"), childPath("a", "b.c"));
        CPPUNIT_ASSERT_EQUAL(std::string("a[\"x\\\"]\"]"), childPath("a", "x\"]"));
        for (const std::string key : { "b", "b.c", "", "x\"]", "[0]", "\\" })
            CPPUNIT_ASSERT_EQUAL(std::string("top.a"), parentPath(childPath("top.a", key)));
        CPPUNIT_ASSERT_EQUAL(std::string(), parentPath("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a[2]"), parentPath(childPath(elementPath("a", 2), "b")));
    }

    // Guards against errors that give the wrong element, or no line at all in a truncated file.
    void linesAreFoundInsideArraysAndMalformedText()
    {
        const std::string text = "{\n\"a\": [\n{\"b\": 1},\n{\"b\": 2, \"s\": \"x\\\"{\"}\n],\n\"c\": }";
        CPPUNIT_ASSERT_EQUAL(4, lineOfPath(text, "a[1].b"));
        CPPUNIT_ASSERT_EQUAL(6, lineOfPath(text, "c"));
        CPPUNIT_ASSERT_EQUAL(2, lineOfPath(text, "a[7].unknown"));
        CPPUNIT_ASSERT_EQUAL(1, lineOfPath(text, "unknown"));
        for (std::size_t length = 0; length < text.size(); ++length)
            lineOfPath(std::string_view(text).substr(0, length), "a[1].b");
    }

    // Guards against invalid UTF-8 in error messages.
    void longValuesAreCutAtCharacterBoundaries()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("\"ab\""), jsonText("ab"));
        CPPUNIT_ASSERT_EQUAL(std::string("null"), jsonText(QJsonValue()));
        const std::string cut = jsonText(QString(50, QChar(0x00E9)), 10);
        CPPUNIT_ASSERT_EQUAL(std::string("\"\xC3\xA9\xC3\xA9\xC3\xA9..."), cut);
    }

    // Guards against a check that stops at the first error, so that operators find errors one at a time.
    void schemaReportsAllFaultsInOnePass()
    {
        const InputErrors errors
            = check("{\n\"listen\": {\"port\": 70000},\n\"limits\": {\"x\": {\"low\": 0.9}, \"y\": 3},\n"
                    "\"codec\": \"xml\",\n\"tags\": [\"a\", \"a\", 1],\n\"verbos\": true,\n\"verbose\": 1}");
        const auto has = [&](InputError::Code code, const std::string& key, int line) {
            for (const InputError& error : errors) {
                if (error.code == code && error.key == key && error.line == line && error.file == "s.json")
                    return true;
            }
            return false;
        };
        CPPUNIT_ASSERT(has(InputError::Code::OutOfRange, "listen.port", 2));
        CPPUNIT_ASSERT(has(InputError::Code::Missing, "listen.host", 2));
        CPPUNIT_ASSERT(has(InputError::Code::Contradiction, "limits.x.low", 3));
        CPPUNIT_ASSERT(has(InputError::Code::WrongType, "limits.y", 3));
        CPPUNIT_ASSERT(has(InputError::Code::OutOfRange, "codec", 4));
        CPPUNIT_ASSERT(has(InputError::Code::OutOfRange, "tags", 5));
        CPPUNIT_ASSERT(has(InputError::Code::Contradiction, "tags[1]", 5));
        CPPUNIT_ASSERT(has(InputError::Code::WrongType, "tags[2]", 5));
        CPPUNIT_ASSERT(has(InputError::Code::UnknownKey, "verbos", 6));
        CPPUNIT_ASSERT(has(InputError::Code::WrongType, "verbose", 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), errors.size());
        const InputErrors port = check("{\"listen\": {\"host\": \"h\", \"port\": 70000}}");
        CPPUNIT_ASSERT_EQUAL(
            std::string("s.json:1: listen.port: value out of range (value 70000, accepted integer 1..65535)"),
            describe(port.at(0)));
        CPPUNIT_ASSERT_EQUAL(std::string("s.json:1: verbos: unknown key, did you mean \"verbose\"?"),
            describe(check("{\"verbos\": true}").at(0)));
    }

    // Guards against defaults that are missing in nested objects.
    void schemaAcceptsDefaults()
    {
        CPPUNIT_ASSERT(check("{}").empty());
        const QJsonObject complete = withDefaults({ { "limits", QJsonObject { { "x", QJsonObject() } } } }, rootSchema);
        CPPUNIT_ASSERT_EQUAL(8080, complete["listen"]["port"].toInt());
        CPPUNIT_ASSERT_EQUAL(0.8, complete["limits"]["x"]["high"].toDouble());
        CPPUNIT_ASSERT(complete["codec"].toString() == "cbor");
        CPPUNIT_ASSERT(complete["tags"].isArray());
    }

    // Guards against a misleading follow-on error caused by a value of the wrong type.
    void ruleIsNotCheckedOnInvalidValues()
    {
        const InputErrors errors = check("{\"limits\": {\"x\": {\"low\": 0.9, \"high\": \"a\"}}}");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), errors.size());
        CPPUNIT_ASSERT(errors[0].code == InputError::Code::WrongType);
    }

    // Guards against documentation that lacks nested keys.
    void schemaListsEveryKey()
    {
        const std::string markdown = schemaMarkdown(rootSchema);
        for (const char* key :
            { "`listen.port`", "`limits.<name>.low`", "`codec`", "1..65535", "cbor, json", "low is less" })
            CPPUNIT_ASSERT_MESSAGE(key, markdown.find(key) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace
