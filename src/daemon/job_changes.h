// JSON encoding of the job state changes that the scheduling daemon sends to each of the others.
#pragma once

#include "scheduler/scheduler.h"

#include <QByteArray>
#include <QJsonArray>
#include <span>
#include <vector>

namespace lacewing::daemon {

// Returns an array of arrays of id, state and, for jobs that have one, client account. Written directly as text,
// because every change is encoded once for each daemon.
QByteArray encodeChanges(std::span<const scheduler::JobChange> changes);
// Leaves out changes with an unknown state.
std::vector<scheduler::JobChange> decodeChanges(const QJsonArray& json);

} // namespace lacewing::daemon
