// Tests of rendezvous hashing.
#include "base/hash.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace {

using lacewing::base::rendezvousOwner;

class HashTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HashTest);
    CPPUNIT_TEST(ownerDoesNotDependOnOrder);
    CPPUNIT_TEST(removalMovesOnlyKeysOfTheRemovedCandidate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against daemons that list members in different orders and therefore disagree on the owner.
    void ownerDoesNotDependOnOrder()
    {
        const std::vector<std::string> forward { "a", "b", "c" };
        const std::vector<std::string> backward { "c", "b", "a" };
        for (int key = 0; key < 200; ++key) {
            const std::string text = std::to_string(key);
            CPPUNIT_ASSERT_EQUAL(forward[rendezvousOwner(text, forward)], backward[rendezvousOwner(text, backward)]);
        }
    }

    // Guards against a membership change that moves keys between the remaining members.
    void removalMovesOnlyKeysOfTheRemovedCandidate()
    {
        const std::vector<std::string> before { "a", "b", "c", "d" };
        const std::vector<std::string> after { "a", "b", "d" };
        for (int key = 0; key < 500; ++key) {
            const std::string text = std::to_string(key);
            const std::string& owner = before[rendezvousOwner(text, before)];
            if (owner != "c")
                CPPUNIT_ASSERT_EQUAL(owner, after[rendezvousOwner(text, after)]);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);

} // namespace
