// Test runner: runs all registered CppUnit tests, or those whose path contains the first argument, and prints
// "N passed, N failed" as its last line. Exit code 1 on a failure or when no test ran.
//
// Tests that KNOWN-RED.txt lists in lines "- SUITE::TEST: ..." may fail: they are printed and not counted. A listed
// test that passes counts as a failure, so that the list stays up to date.
#include "kernel/event_dispatcher.h"

#include <QCoreApplication>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>

namespace {

void runMatching(CppUnit::Test& test, const std::string& filter, CppUnit::TestResult& controller)
{
    if (test.getChildTestCount() == 0) {
        if (test.getName().find(filter) != std::string::npos)
            test.run(&controller);
        return;
    }
    for (int index = 0; index < test.getChildTestCount(); ++index)
        runMatching(*test.getChildTestAt(index), filter, controller);
}

std::set<std::string> knownRedTests()
{
    std::set<std::string> names;
    std::ifstream file(LACEWING_SOURCE_DIR "/KNOWN-RED.txt");
    for (std::string line; std::getline(file, line);) {
        const std::size_t end = line.find(": ");
        if (line.rfind("- ", 0) != 0 || end == std::string::npos)
            continue;
        const std::string name = line.substr(2, end - 2);
        if (name.find("::") != std::string::npos && name.find(' ') == std::string::npos)
            names.insert(name);
    }
    return names;
}

// Name without the anonymous namespace that test suites are in.
std::string plainName(const CppUnit::Test& test)
{
    const std::string name = test.getName();
    const std::string prefix = "(anonymous namespace)::";
    return name.rfind(prefix, 0) == 0 ? name.substr(prefix.size()) : name;
}

} // namespace

int main(int argc, char** argv)
{
    // Fixed parameters, so that a property test has the same result on every run.
    qputenv("RC_PARAMS", "seed=20261204 max_success=200");
    // The tests run in the same event loop as the daemon.
    QCoreApplication::setEventDispatcher(new lacewing::kernel::EventDispatcher);
    QCoreApplication application(argc, argv);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    controller.addListener(&collector);
    CppUnit::BriefTestProgressListener progress;
    const bool isVerbose = argc > 2 && std::string(argv[2]) == "-v";
    if (isVerbose)
        controller.addListener(&progress);

    const std::unique_ptr<CppUnit::Test> root(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runMatching(*root, argc > 1 ? argv[1] : "", controller);

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const std::set<std::string> knownRed = knownRedTests();
    std::set<std::string> failed;
    for (const CppUnit::TestFailure* failure : collector.failures())
        failed.insert(plainName(*failure->failedTest()));
    int unexpected = 0;
    int known = 0;
    for (const std::string& name : failed) {
        const bool isKnown = knownRed.count(name) > 0;
        ++(isKnown ? known : unexpected);
        if (isKnown)
            std::cout << "known red: " << name << std::endl;
    }
    for (const CppUnit::Test* test : collector.tests()) {
        const std::string name = plainName(*test);
        if (knownRed.count(name) > 0 && failed.count(name) == 0) {
            std::cout << "listed in KNOWN-RED.txt, but passes: " << name << std::endl;
            ++unexpected;
        }
    }
    std::cout << collector.runTests() - known - unexpected << " passed, " << unexpected << " failed" << std::endl;
    return unexpected == 0 && collector.runTests() > 0 ? 0 : 1;
}
