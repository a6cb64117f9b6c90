// Workers that leave at short notice: their stops and the ends of their tasks have to fit into the time that is left,
// so that notices and reports are read sooner than usual.
#pragma once

#include "scheduler/scheduler.h"

namespace lacewing::scheduler {

// A worker that was not known to drain announces its departure.
void recordNotice(Scheduler& scheduler, Millis remainingMs, Millis now);
// ms from one request for the list of workers to the next: usualMs, or less while workers leave at short notice,
// because departures come in series.
Millis workerListPeriodMs(const Scheduler& scheduler, Millis usualMs, Millis now);

// Sets whether the worker's lease is withheld. A lease that is not renewed shortens the time for which tasks wait for
// the worker after it has left, in this term and in later ones.
void updateWithheldLease(Worker& worker, Millis now);

// True while the next report of the worker would only repeat ends that are being stored. A draining worker's report is
// never held back: the ends of its stops must be read before it is gone.
bool isReportHeldBack(const Scheduler& scheduler, const Worker& worker, Millis now);

} // namespace lacewing::scheduler
