// Tests of the micro-kernel.
#include "kernel/kernel.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing::kernel;

Service recordingService(const std::string& name, std::vector<std::string> dependsOn, std::vector<std::string>& events,
    const std::string& failure = "")
{
    Service service;
    service.name = name;
    service.dependsOn = std::move(dependsOn);
    service.start = [name, &events, failure] {
        events.push_back("start " + name);
        return failure;
    };
    service.stop = [name, &events] { events.push_back("stop " + name); };
    return service;
}

class KernelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KernelTest);
    CPPUNIT_TEST(startsInDependencyOrderAndStopsInReverse);
    CPPUNIT_TEST(failureNamesTheServiceAndStopsTheOthers);
    CPPUNIT_TEST(cycleAndUnknownDependencyAreErrors);
    CPPUNIT_TEST(interfaceOfAnotherTypeIsNotFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a service that starts before one of its dependencies or stops after it.
    void startsInDependencyOrderAndStopsInReverse()
    {
        std::vector<std::string> events;
        Kernel kernel;
        CPPUNIT_ASSERT(registerService(kernel, recordingService("a", { "c" }, events)).has_value());
        CPPUNIT_ASSERT(registerService(kernel, recordingService("b", {}, events)).has_value());
        CPPUNIT_ASSERT(registerService(kernel, recordingService("c", { "b" }, events)).has_value());
        CPPUNIT_ASSERT(startAll(kernel).has_value());
        stopAll(kernel);
        const std::vector<std::string> expected { "start b", "start c", "start a", "stop a", "stop c", "stop b" };
        CPPUNIT_ASSERT(events == expected);
    }

    // Guards against a failed start that leaves other services running, or that does not say what failed.
    void failureNamesTheServiceAndStopsTheOthers()
    {
        std::vector<std::string> events;
        Kernel kernel;
        CPPUNIT_ASSERT(registerService(kernel, recordingService("a", {}, events)).has_value());
        CPPUNIT_ASSERT(registerService(kernel, recordingService("b", { "a" }, events, "port in use")).has_value());
        const auto result = startAll(kernel);
        CPPUNIT_ASSERT(result.has_error());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), result.error().service);
        CPPUNIT_ASSERT_EQUAL(std::string("port in use"), result.error().detail);
        const std::vector<std::string> expected { "start a", "start b", "stop a" };
        CPPUNIT_ASSERT(events == expected);
    }

    // Guards against endless recursion on a cycle, and against a misspelt dependency that is silently ignored.
    void cycleAndUnknownDependencyAreErrors()
    {
        std::vector<std::string> events;
        Kernel cycle;
        CPPUNIT_ASSERT(registerService(cycle, recordingService("a", { "b" }, events)).has_value());
        CPPUNIT_ASSERT(registerService(cycle, recordingService("b", { "a" }, events)).has_value());
        CPPUNIT_ASSERT(startAll(cycle).error().code == KernelCode::DependencyCycle);
        Kernel unknown;
        CPPUNIT_ASSERT(registerService(unknown, recordingService("a", { "x" }, events)).has_value());
        CPPUNIT_ASSERT(startAll(unknown).error().code == KernelCode::UnknownDependency);
        CPPUNIT_ASSERT(
            registerService(unknown, recordingService("a", {}, events)).error().code == KernelCode::DuplicateName);
        CPPUNIT_ASSERT(events.empty());
    }

    // Guards against a cast to the wrong interface when two services swap names.
    void interfaceOfAnotherTypeIsNotFound()
    {
        Kernel kernel;
        int number = 7;
        publish(kernel, "number", &number);
        CPPUNIT_ASSERT_EQUAL(7, *find<int>(kernel, "number"));
        CPPUNIT_ASSERT(find<double>(kernel, "number") == nullptr);
        CPPUNIT_ASSERT(find<int>(kernel, "other") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KernelTest);

} // namespace
