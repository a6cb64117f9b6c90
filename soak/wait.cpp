// Waits of the soak in its own event loop.
#include "soak/wait.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
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

} // namespace lacewing::soak
