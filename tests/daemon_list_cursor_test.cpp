// Tests of ListCursor: no key is lost or read twice, whatever calls fail.
#include "daemon/list_cursor.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace lacewing::daemon;

const std::string prefix = "lacewing/in/";

// A store with pages of a limited number of keys, over a link that carries at most `carried` keys per call.
struct ListedStore {
    std::set<std::string> keys;
    std::size_t pageKeys = 500;
    std::size_t carried = 1000;

    struct Page {
        std::vector<std::string> keys;
        bool isLast = true;
        bool wasInterrupted = false;
    };

    Page page(const ListPiece& piece) const
    {
        Page page;
        for (auto key = keys.lower_bound(piece.prefix); key != keys.end() && key->starts_with(piece.prefix); ++key) {
            if (*key <= piece.after)
                continue;
            if (page.keys.size() >= pageKeys) {
                page.isLast = false;
                break;
            }
            page.keys.push_back(*key);
        }
        page.wasInterrupted = page.keys.size() > carried;
        return page;
    }
};

std::set<std::string> randomKeys(std::mt19937& random, int count)
{
    constexpr std::string_view digits = "0123456789abcdefABCDEF";
    std::set<std::string> keys;
    for (int i = 0; i < count; ++i) {
        std::string key = prefix;
        for (int digit = 0; digit < 16; ++digit)
            key += digits[std::uniform_int_distribution<std::size_t>(0, i % 5 == 0 ? 21 : 15)(random)];
        keys.insert(key);
        if (i % 7 == 0)
            keys.insert(key + "/cancel");
    }
    return keys;
}

class ListCursorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ListCursorTest);
    CPPUNIT_TEST(whatHasBeenReadStaysRead);
    CPPUNIT_TEST(piecesBecomeSmallEnoughForTheLink);
    CPPUNIT_TEST(everyKeyIsReadOnceWhateverFails);
    CPPUNIT_TEST(revisionIsThatOfTheFirstPage);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a load that begins again from nothing after one failed call (incident of terms that never load).
    void whatHasBeenReadStaysRead()
    {
        ListCursor cursor = beginList(prefix);
        applyPage(cursor, prefix + "5abc", false, 10, 1000);
        applyFailure(cursor, minDividedBytes - 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cursor.pieces.size());
        CPPUNIT_ASSERT_EQUAL(prefix + "5abc", cursor.pieces.front().after);
        applyFailure(cursor, minDividedBytes);
        CPPUNIT_ASSERT_EQUAL(prefix + "5", cursor.pieces.front().prefix);
        CPPUNIT_ASSERT_EQUAL(prefix + "5abc", cursor.pieces.front().after);
        CPPUNIT_ASSERT_EQUAL(prefix + "6", cursor.pieces[1].prefix);
        CPPUNIT_ASSERT(cursor.pieces[1].after.empty());
    }

    // Guards against an answer that is asked for again in the same size by each attempt.
    void piecesBecomeSmallEnoughForTheLink()
    {
        std::mt19937 random(7);
        ListedStore store { randomKeys(random, 3000) };
        store.carried = 20; // of up to 500 on a page
        ListCursor cursor = beginList(prefix);
        int calls = 0;
        std::set<std::string> read;
        while (!isComplete(cursor)) {
            CPPUNIT_ASSERT(++calls < 3000);
            const ListedStore::Page page = store.page(cursor.pieces.front());
            if (page.wasInterrupted) {
                applyFailure(cursor, minDividedBytes);
                continue;
            }
            read.insert(page.keys.begin(), page.keys.end());
            applyPage(cursor, page.keys.empty() ? "" : page.keys.back(), page.isLast, calls, 100);
        }
        CPPUNIT_ASSERT(read == store.keys);
    }

    void everyKeyIsReadOnceWhateverFails()
    {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            std::mt19937 random(seed);
            ListedStore store { randomKeys(random, 400) };
            store.pageKeys = std::uniform_int_distribution<std::size_t>(1, 120)(random);
            ListCursor cursor = beginList(prefix);
            std::vector<std::string> read;
            while (!isComplete(cursor)) {
                if (std::uniform_int_distribution<int>(0, 3)(random) == 0) {
                    applyFailure(cursor, std::uniform_int_distribution<std::int64_t>(0, 2 * minDividedBytes)(random));
                    continue;
                }
                const ListedStore::Page page = store.page(cursor.pieces.front());
                read.insert(read.end(), page.keys.begin(), page.keys.end());
                applyPage(cursor, page.keys.empty() ? "" : page.keys.back(), page.isLast, 1, 100);
            }
            std::sort(read.begin(), read.end());
            CPPUNIT_ASSERT(std::equal(read.begin(), read.end(), store.keys.begin(), store.keys.end()));
        }
    }

    // Guards against changes that are missed between the pages and the watch that follows the list.
    void revisionIsThatOfTheFirstPage()
    {
        ListCursor cursor = beginList(prefix);
        applyFailure(cursor, minDividedBytes);
        applyPage(cursor, "", true, 41, 10);
        applyPage(cursor, "", true, 57, 10);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(41), cursor.revision);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListCursorTest);

} // namespace
