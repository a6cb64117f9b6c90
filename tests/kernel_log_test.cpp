// Tests of the logs: complete JSON lines, a limited number of them, and no blocking on a stalled reader.
#include "kernel/log.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

namespace {

using namespace lacewing::kernel;

class KernelLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KernelLogTest);
    CPPUNIT_TEST(linesAreJsonObjects);
    CPPUNIT_TEST(stalledReaderDoesNotBlockLogging);
    CPPUNIT_TEST(linesPerSecondAreBounded);
    CPPUNIT_TEST(routineLinesLeaveRoomForNotices);
    CPPUNIT_TEST(routineLinesLeaveRoomForTrackedOnes);
    CPPUNIT_TEST(trackedLinesFitIntoTheBufferOfAStalledReader);
    CPPUNIT_TEST(noticesFitIntoTheBufferOfAStalledReader);
    CPPUNIT_TEST(droppedLinesAreLogged);
    CPPUNIT_TEST_SUITE_END();

    int m_pipe[2] = { -1, -1 };

    void open(LogLimits limits)
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_pipe));
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        openLog(LogLevel::Info, "dc", "daemon", limits, m_pipe[1]);
    }

    QByteArray readAll() const
    {
        QByteArray bytes(1 << 20, '\0');
        const ssize_t length = ::read(m_pipe[0], bytes.data(), static_cast<std::size_t>(bytes.size()));
        return bytes.left(std::max<ssize_t>(0, length));
    }

    static void logTracked(int count)
    {
        const LogField field("task", "kept");
        for (int i = 0; i < count; ++i)
            logEvent(LogLevel::Info, lacewing::base::Significance::Tracked, "dispatcher", "start", &field, 1);
    }

public:
    void tearDown() override
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
        openLog(LogLevel::Error, "", "", {}, 2);
    }

    void linesAreJsonObjects()
    {
        open({});
        logEvent(
            LogLevel::Info, "gateway", "submit", { { "job", "a\"b\\c\n" }, { "status", 200 }, { "isLate", false } });
        logEvent(LogLevel::Debug, "gateway", "notWritten");
        flushLog();
        const QByteArray text = readAll();
        CPPUNIT_ASSERT_EQUAL(qsizetype(1), text.count('\n'));
        const QJsonObject line = QJsonDocument::fromJson(text).object();
        CPPUNIT_ASSERT(line["event"] == "submit" && line["job"] == "a\"b\\c\n" && line["status"] == 200);
        CPPUNIT_ASSERT(line["daemon"] == "daemon" && line["isLate"] == false && line["time"].isString());
    }

    // Guards against a daemon that blocks because nothing reads its output.
    void stalledReaderDoesNotBlockLogging()
    {
        open({ 100000, 1000000 });
        const std::uint64_t before = logCounters().dropped.routine;
        for (int i = 0; i < 20000; ++i) {
            logEvent(LogLevel::Info, "dispatcher", "start", { { "task", std::string(100, 'x') } });
            if (i % 100 == 0)
                flushLog();
        }
        CPPUNIT_ASSERT(logCounters().dropped.routine > before);
        const QByteArray text = readAll();
        CPPUNIT_ASSERT(text.startsWith("{\"time\""));
    }

    // Guards against a log volume that grows with the load.
    void linesPerSecondAreBounded()
    {
        open({ 1 << 20, 50 });
        for (int i = 0; i < 1000; ++i)
            logEvent(LogLevel::Info, "dispatcher", "start");
        logEvent(LogLevel::Error, "dispatcher", "important");
        flushLog();
        const QByteArray text = readAll();
        CPPUNIT_ASSERT(text.count('\n') <= 151); // at most two seconds begin during the test, and the error
        CPPUNIT_ASSERT(text.contains("important"));
    }

    // Guards against a change of term that is missing from the log because starts used up the lines of that second.
    void routineLinesLeaveRoomForNotices()
    {
        open({ 1 << 20, 100 });
        const std::uint64_t before = logCounters().dropped.significant;
        for (int i = 0; i < 1000; ++i)
            logEvent(LogLevel::Info, "dispatcher", "start");
        for (int i = 0; i < 20; ++i)
            logEvent(LogLevel::Notice, "dispatcher", "workerContact", { { "number", i } });
        logEvent(LogLevel::Notice, "dispatcher", "termAccounted");
        flushLog();
        const QByteArray text = readAll();
        CPPUNIT_ASSERT_EQUAL(qsizetype(20), text.count("workerContact"));
        CPPUNIT_ASSERT(text.contains("termAccounted"));
        CPPUNIT_ASSERT_EQUAL(before, logCounters().dropped.significant);
    }

    // Guards against holes in the record of a lasting task because short tasks used up the lines of that second.
    void routineLinesLeaveRoomForTrackedOnes()
    {
        open({ 1 << 20, 160 });
        const std::uint64_t before = logCounters().dropped.significant;
        for (int i = 0; i < 1000; ++i)
            logEvent(LogLevel::Info, "dispatcher", "start");
        logTracked(20);
        flushLog();
        CPPUNIT_ASSERT_EQUAL(qsizetype(20), readAll().count("kept"));
        CPPUNIT_ASSERT_EQUAL(before, logCounters().dropped.significant);
    }

    // Guards against such holes because routine lines have filled the buffer.
    void trackedLinesFitIntoTheBufferOfAStalledReader()
    {
        open({ 20000, 1000000 });
        for (int i = 0; i < 1000; ++i)
            logEvent(LogLevel::Info, "dispatcher", "start");
        logTracked(15);
        flushLog();
        CPPUNIT_ASSERT_EQUAL(qsizetype(15), readAll().count("kept"));
    }

    // Guards against a notice that is dropped because routine lines have filled the buffer.
    void noticesFitIntoTheBufferOfAStalledReader()
    {
        open({ 20000, 1000000 });
        for (int i = 0; i < 1000; ++i)
            logEvent(LogLevel::Info, "dispatcher", "start", { { "task", std::string(100, 'x') } });
        for (int i = 0; i < 5; ++i)
            logEvent(LogLevel::Notice, "dispatcher", "termAccounted", { { "detail", std::string(100, 'x') } });
        flushLog();
        CPPUNIT_ASSERT_EQUAL(qsizetype(5), readAll().count("termAccounted"));
    }

    // Guards against lines that are dropped without a trace in the log itself.
    void droppedLinesAreLogged()
    {
        open({ 1 << 20, 50 });
        flushLog();
        const std::uint64_t before = logCounters().dropped.routine;
        for (int i = 0; i < 1000; ++i)
            logEvent(LogLevel::Info, "dispatcher", "start");
        const std::uint64_t dropped = logCounters().dropped.routine - before;
        ::sleep(1); // the line is written at most once a second
        flushLog();
        const QByteArray text = readAll();
        const qsizetype start = text.lastIndexOf("{\"time\"");
        const QJsonObject line = QJsonDocument::fromJson(text.mid(start)).object();
        CPPUNIT_ASSERT(line["event"] == "linesDropped");
        CPPUNIT_ASSERT(line["routine"].toInteger() >= static_cast<qint64>(dropped));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KernelLogTest);

} // namespace
