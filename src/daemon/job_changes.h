// JSON encoding of the job state changes that the scheduling daemon sends to each of the others.
#pragma once

#include "scheduler/scheduler.h"

#include <QByteArray>
#include <span>

namespace lacewing::daemon {

// Returns an array of pairs of id and state. Written directly as text, because every change is encoded once for each
// daemon.
QByteArray encodeChanges(std::span<const scheduler::JobChange> changes);

} // namespace lacewing::daemon
