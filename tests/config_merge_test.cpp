// Tests of the merge rules, the limits of the files and the difference of two configurations.
#include "config/diff.h"
#include "config/merge.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>

namespace {

using namespace lacewing::config; // NOLINT(google-build-using-namespace)

std::string compact(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

MergedConfig merge(const Files& files)
{
    auto merged = mergeFiles(files);
    if (merged.has_error())
        CPPUNIT_FAIL(describe(merged.error().front()));
    return std::move(merged).value();
}

std::string mergedText(const Files& files) { return compact(merge(files).object); }

ConfigError onlyError(const Files& files, const MergeLimits& limits = {})
{
    const auto merged = mergeFiles(files, limits);
    CPPUNIT_ASSERT(merged.has_error());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), merged.error().size());
    return merged.error().front();
}

// Random object. Keys a and b hold objects, keys x, y and z scalars or arrays, so that two such objects never have a
// type conflict. With `hasNulls`, values may also be null, which removes the key.
QJsonObject randomTree(int depth, bool hasNulls)
{
    QJsonObject object;
    for (const char* key : { "a", "b" }) {
        const int kind = *rc::gen::inRange(0, hasNulls ? 6 : 5);
        if (depth > 0 && kind < 3)
            object[key] = randomTree(depth - 1, hasNulls);
        else if (kind == 5)
            object[key] = QJsonValue();
    }
    for (const char* key : { "x", "y", "z" }) {
        const int kind = *rc::gen::inRange(0, hasNulls ? 6 : 5);
        if (kind < 2)
            object[key] = *rc::gen::inRange(0, 4);
        else if (kind == 2)
            object[key] = QJsonArray { *rc::gen::inRange(0, 3) };
        else if (kind == 5)
            object[key] = QJsonValue();
    }
    return object;
}

Files randomFiles(bool hasNulls)
{
    Files files;
    const int count = *rc::gen::inRange(1, 6);
    for (int index = 0; index < count; ++index)
        files["f" + std::to_string(index) + ".json"] = compact(randomTree(2, hasNulls));
    return files;
}

// Value at the path according to the last file that sets or removes it. Found without merging, by searching the files
// from the last to the first.
QJsonValue lastSetValue(const Files& files, const QStringList& path)
{
    for (auto file = files.rbegin(); file != files.rend(); ++file) {
        QJsonValue value = QJsonDocument::fromJson(QByteArray::fromStdString(file->second)).object();
        for (const QString& key : path) {
            value = value.toObject().value(key);
            if (value.isNull())
                return QJsonValue(QJsonValue::Undefined);
            if (value.isUndefined())
                break;
        }
        if (!value.isUndefined())
            return value;
    }
    return QJsonValue(QJsonValue::Undefined);
}

class MergeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MergeTest);
    CPPUNIT_TEST(objectsMergeArraysReplaceNullRemoves);
    CPPUNIT_TEST(typeConflictNamesBothFiles);
    CPPUNIT_TEST(replaceKeyAllowsTypeChange);
    CPPUNIT_TEST(faultsOfAllFilesAreReported);
    CPPUNIT_TEST(fileNamesAreChecked);
    CPPUNIT_TEST(boundsAreChecked);
    CPPUNIT_TEST(originsFollowTheDecidingFile);
    CPPUNIT_TEST(groupingDoesNotMatter);
    CPPUNIT_TEST(prefixGroupingDoesNotMatterWithNulls);
    CPPUNIT_TEST(removingAFileRestoresTheEarlierResult);
    CPPUNIT_TEST(lastFileWins);
    CPPUNIT_TEST(diffNamesPathAndFile);
    CPPUNIT_TEST(diffIsEmptyExactlyForEqualObjects);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against deviations from the documented merge rules.
    void objectsMergeArraysReplaceNullRemoves()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":{\"x\":1,\"y\":3},\"l\":[3],\"s\":\"new\"}"),
            mergedText({ { "1.json", "{\"a\":{\"x\":1,\"y\":2,\"z\":0},\"l\":[1,2],\"s\":\"old\",\"gone\":{\"k\":1}}" },
                { "2.json", "{\"a\":{\"y\":3,\"z\":null},\"l\":[3],\"s\":\"new\",\"gone\":null,\"never\":null}" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":{}}"), mergedText({ { "1.json", "{\"a\":{\"x\":null}}" } }));
        // Files are merged in the byte order of their names: "10" before "9", upper case before lower case.
        CPPUNIT_ASSERT_EQUAL(std::string("{\"v\":3}"),
            mergedText({ { "9.json", "{\"v\":2}" }, { "10.json", "{\"v\":1}" }, { "a.json", "{\"v\":3}" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), mergedText({}));
    }

    // Guards against a scalar that silently replaces a whole section.
    void typeConflictNamesBothFiles()
    {
        const ConfigError error
            = onlyError({ { "1.json", "{\n\"a\": {\n\"b\": {\"c\": 1}}}" }, { "2.json", "{\"a\":\n{\"b\":\n7}}" } });
        CPPUNIT_ASSERT(error.code == ConfigError::Code::TypeConflict);
        CPPUNIT_ASSERT_EQUAL(std::string("2.json"), error.file);
        CPPUNIT_ASSERT_EQUAL(2, error.line);
        CPPUNIT_ASSERT_EQUAL(std::string("a.b"), error.key);
        CPPUNIT_ASSERT(error.detail.find("1.json:3") != std::string::npos);
        CPPUNIT_ASSERT(onlyError({ { "1.json", "{\"a\":[1]}" }, { "2.json", "{\"a\":{}}" } }).code
            == ConfigError::Code::TypeConflict);
    }

    // Guards against a $replace that keeps parts of the replaced value, or that remains in the merged object.
    void replaceKeyAllowsTypeChange()
    {
        const Files base { { "1.json", "{\"a\":{\"b\":1,\"c\":2}}" } };
        const auto with = [&](const std::string& text) {
            Files files = base;
            files["2.json"] = text;
            return files;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":7}"), mergedText(with("{\"a\":{\"$replace\":7}}")));
        CPPUNIT_ASSERT_EQUAL(
            std::string("{\"a\":{\"d\":3}}"), mergedText(with("{\"a\":{\"$replace\":{\"d\":3,\"e\":null}}}")));
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), mergedText(with("{\"a\":{\"$replace\":null}}")));
        CPPUNIT_ASSERT_EQUAL(
            std::string("{\"a\":{\"d\":4}}"), mergedText(with("{\"a\":{\"$replace\":{\"d\":{\"$replace\":4}}}}")));
        CPPUNIT_ASSERT(onlyError(with("{\"a\":{\"$replace\":7,\"b\":1}}")).code == ConfigError::Code::BadReplace);
        CPPUNIT_ASSERT(onlyError(with("{\"$replace\":{}}")).code == ConfigError::Code::BadReplace);
        CPPUNIT_ASSERT(
            onlyError(with("{\"a\":{\"$replace\":{\"$replace\":1}}}")).code == ConfigError::Code::BadReplace);
    }

    // Guards against reporting the errors of the first file only, so that the operator finds the others one by one.
    void faultsOfAllFilesAreReported()
    {
        const auto merged = mergeFiles({ { "1.json", "{\"a\":1,\n\"a\":2}" }, { "2.json", "{" }, { "3.json", "[]" } });
        CPPUNIT_ASSERT(merged.has_error());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), merged.error().size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("1.json:2: a: key appears twice in one object, first in line 1"), describe(merged.error()[0]));
        CPPUNIT_ASSERT_EQUAL(std::string("2.json"), merged.error()[1].file);
        CPPUNIT_ASSERT_EQUAL(std::string("3.json"), merged.error()[2].file);
    }

    // Guards against names that point outside the folder, are hidden in listings or sort differently on other systems.
    void fileNamesAreChecked()
    {
        for (const std::string name : { "a.json", "10-base.json", "A_b.c.json" })
            CPPUNIT_ASSERT_MESSAGE(name, isFileName(name));
        for (const std::string name : { "", ".json", ".a.json", "../a.json", "a/b.json", "a.txt", "a.JSON", "a b.json",
                 "\xC3\xA4.json", "-a.json" })
            CPPUNIT_ASSERT_MESSAGE(name, !isFileName(name));
        CPPUNIT_ASSERT(!isFileName(std::string(96, 'a') + ".json"));
        CPPUNIT_ASSERT(onlyError({ { "a.txt", "{}" } }).code == ConfigError::Code::BadFileName);
        CPPUNIT_ASSERT(onlyError({ { "A.json", "{}" }, { "a.json", "{}" } }).code == ConfigError::Code::BadFileName);
    }

    // Guards against files too large for the store, and against deep nesting.
    void boundsAreChecked()
    {
        MergeLimits limits;
        limits.fileBytes = 10;
        limits.totalBytes = 40;
        limits.files = 2;
        limits.depth = 2;
        CPPUNIT_ASSERT(onlyError({ { "a.json", "{\"a\":12345}" } }, limits).code == ConfigError::Code::TooLarge);
        CPPUNIT_ASSERT(onlyError({ { "a.json", std::string(60, ' ') } }, limits).code == ConfigError::Code::TooLarge);
        CPPUNIT_ASSERT(onlyError({ { "a.json", "{}" }, { "b.json", "{}" }, { "c.json", "{}" } }, limits).code
            == ConfigError::Code::TooLarge);
        CPPUNIT_ASSERT(onlyError({ { "a.json", "{\"a\":[[]]}" } }, limits).code == ConfigError::Code::TooDeep);
        CPPUNIT_ASSERT(mergeFiles({ { "a.json", "{\"a\":[]}" } }, limits).has_value());
    }

    // Guards against an error or a difference that names a file whose value was overridden by a later file.
    void originsFollowTheDecidingFile()
    {
        const MergedConfig merged = merge({ { "1.json", "{\n\"a\": {\"x\": 1,\n\"y\": 2},\n\"l\": [\n{\"p\": 1}]}" },
            { "2.json", "{\"a\": {\n\"y\": 3}, \"r\": {\"$replace\":\n{\"s\":\n1}}, \"l\": null}" } });
        const auto at = [&](const char* path) {
            const auto location = locate(merged, path);
            return location.file + ":" + std::to_string(location.line);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("1.json:2"), at("a.x"));
        CPPUNIT_ASSERT_EQUAL(std::string("2.json:2"), at("a.y"));
        CPPUNIT_ASSERT_EQUAL(std::string("2.json:3"), at("r.s"));
        CPPUNIT_ASSERT_EQUAL(std::string("1.json:2"), at("a.unknown"));
        CPPUNIT_ASSERT_EQUAL(std::string(":0"), at("l[0].p"));
        CPPUNIT_ASSERT_EQUAL(std::string("2.json"), merged.removals.at("l").file);
        const MergedConfig list = merge({ { "1.json", "{\"l\": [\n{\"p\": 1},\n{\"p\": 2}]}" } });
        CPPUNIT_ASSERT_EQUAL(3, locate(list, "l[1].p").line);
    }

    // Guards against a result that depends on how adjacent files are grouped: without nulls, any sequence of adjacent
    // files can be replaced by one file with their merge result.
    void groupingDoesNotMatter()
    {
        CPPUNIT_ASSERT(rc::check("merge is associative in the order of names", [] {
            const Files files = randomFiles(false);
            const int first = *rc::gen::inRange(0, static_cast<int>(files.size()));
            const int last = *rc::gen::inRange(first, static_cast<int>(files.size()));
            Files group;
            Files grouped;
            int index = 0;
            for (const auto& [name, text] : files) {
                (index >= first && index <= last ? group : grouped)[name] = text;
                ++index;
            }
            grouped[group.begin()->first] = compact(merge(group).object);
            RC_ASSERT(mergedText(grouped) == mergedText(files));
        }));
    }

    // Guards against removals that depend on grouping. The first files can be replaced by their merge result. Later
    // ones cannot, because merging them alone drops their nulls, which then no longer remove keys of earlier files.
    void prefixGroupingDoesNotMatterWithNulls()
    {
        CPPUNIT_ASSERT(rc::check("a leading run of files equals its merge", [] {
            const Files files = randomFiles(true);
            const int last = *rc::gen::inRange(0, static_cast<int>(files.size()));
            Files group;
            Files grouped;
            int index = 0;
            for (const auto& [name, text] : files)
                (index++ <= last ? group : grouped)[name] = text;
            grouped[group.begin()->first] = compact(merge(group).object);
            RC_ASSERT(mergedText(grouped) == mergedText(files));
        }));
    }

    // Guards against a setting that cannot be undone by removing its file.
    void removingAFileRestoresTheEarlierResult()
    {
        CPPUNIT_ASSERT(rc::check("adding and removing a file has no effect", [] {
            const Files before = randomFiles(true);
            Files files = before;
            const std::string name = *rc::gen::element<std::string>("a.json", "f1x.json", "z.json");
            files[name] = compact(randomTree(2, true));
            RC_ASSERT(mergeFiles(files).has_value());
            files.erase(name);
            const MergedConfig restored = merge(files);
            RC_ASSERT(compact(restored.object) == mergedText(before));
            RC_ASSERT(diff(merge(before), restored).empty());
            RC_ASSERT(restored.origins.size() == merge(before).origins.size());
        }));
    }

    // Guards against an earlier file that overrides a later one. The expected value is computed independently, without
    // merging.
    void lastFileWins()
    {
        CPPUNIT_ASSERT(rc::check("each scalar is the last decision", [] {
            const Files files = randomFiles(true);
            const QJsonObject merged = merge(files).object;
            for (const QStringList& parent : { QStringList {}, QStringList { "a" }, QStringList { "b", "a" } }) {
                for (const char* key : { "x", "y", "z" }) {
                    QJsonValue value = merged;
                    for (const QString& part : parent)
                        value = value.toObject().value(part);
                    RC_ASSERT(value.toObject().value(key) == lastSetValue(files, parent + QStringList { key }));
                }
            }
        }));
    }

    // Guards against a difference that does not name the file and line of a change.
    void diffNamesPathAndFile()
    {
        const Files before { { "1.json", "{\"a\":{\"x\":1,\"y\":2},\"l\":[1],\"k\":{\"m\":1}}" } };
        Files after = before;
        after["2.json"] = "{\"a\":{\"x\":5,\"y\":null,\n\"z\":{\"n\":true}},\"l\":[1,2],\"k\":null}";
        const std::vector<Change> changes = diff(merge(before), merge(after));
        std::string text;
        for (const Change& change : changes)
            text += describe(change) + "\n";
        CPPUNIT_ASSERT_EQUAL(
            std::string("changed a.x 1 -> 5 (2.json:1)\nremoved a.y 2 (2.json:1)\nadded a.z.n true (2.json:2)\n"
                        "removed k.m 1 (2.json:2)\nchanged l [1] -> [1,2] (2.json:2)\n"),
            text);
        const std::vector<Change> back = diff(merge(after), merge(before));
        CPPUNIT_ASSERT_EQUAL(std::string("changed a.x 5 -> 1 (1.json:1)"), describe(back[0]));
        CPPUNIT_ASSERT_EQUAL(std::string("removed a.z.n true (2.json:2)"), describe(back[2]));
        // A null that a later file has overridden is not reported as the cause of the removal.
        const Files replaced { { "0.json", R"({"a":{"x":null}})" }, { "1.json", R"({"a":{"x":2}})" },
            { "2.json", R"({"a":{"$replace":{"y":2}},"l":[1],"k":{"m":1}})" } };
        CPPUNIT_ASSERT_EQUAL(
            std::string("removed a.x 1 (1.json:1)"), describe(diff(merge(before), merge(replaced)).at(0)));
    }

    // Guards against a change that `config apply` does not list.
    void diffIsEmptyExactlyForEqualObjects()
    {
        CPPUNIT_ASSERT(rc::check("diff is empty exactly for equal objects", [] {
            const MergedConfig first = merge(randomFiles(true));
            const MergedConfig second = merge(randomFiles(true));
            RC_ASSERT(diff(first, second).empty() == (first.object == second.object));
            RC_ASSERT(diff(first, second).size() == diff(second, first).size());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MergeTest);

} // namespace
