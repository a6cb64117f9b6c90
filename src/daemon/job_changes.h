// JSON form of the changes of jobs' states that the scheduling daemon sends to each of the others.
#pragma once

#include "scheduler/scheduler.h"

#include <QByteArray>
#include <span>

namespace lacewing::daemon {

// An array of pairs of id and state. Written as text: every change is encoded once for each daemon.
QByteArray encodeChanges(std::span<const scheduler::JobChange> changes);

} // namespace lacewing::daemon
