// Test runner: runs all registered CppUnit tests, or those whose path contains the first argument, and prints
// "N passed, N failed" as its last line. Exit code 1 on a failure or when no test ran.
#include "kernel/event_dispatcher.h"

#include <QCoreApplication>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>
#include <memory>
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

} // namespace

int main(int argc, char** argv)
{
    // Fixed parameters: a property test must give the same verdict on every run.
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
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
