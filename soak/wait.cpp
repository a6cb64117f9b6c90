// Waits of the soak in its own event loop, and for ends of processes.
#include "soak/wait.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QFile>
#include <QTimer>

namespace lacewing::soak {

namespace {

    constexpr int pendingEventsMs = 100; // for events that wait at the limit

} // namespace

bool waitUntil(const std::function<bool()>& condition, int limitMs)
{
    const QDeadlineTimer deadline(limitMs);
    QTimer wake; // ends the wait of processEvents() when there is no other event
    wake.start(5);
    while (!condition()) {
        if (deadline.hasExpired()) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, pendingEventsMs);
            return condition();
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents);
    }
    return true;
}

bool hasExited(std::int64_t pid)
{
    QFile stat(QStringLiteral("/proc/%1/stat").arg(pid));
    if (!stat.open(QIODevice::ReadOnly))
        return false;
    const QByteArray text = stat.readAll();
    return text.mid(text.lastIndexOf(')') + 2, 1) == "Z"; // the state; the name before it may have any character
}

} // namespace lacewing::soak
