// HTTP interface of a worker model, with faults.
#pragma once

#include "http/server.h"
#include "standin/worker_model.h"

#include <utility>
#include <vector>

namespace lacewing::standin {

struct WorkerService {
    WorkerModel model;
    bool isPaused = false; // requests wait and are processed after the pause, as in a stopped process
    std::vector<std::pair<http::Request, http::Responder>> waiting;
};

void handleWorker(WorkerService& worker, const http::Request& request, const http::Responder& responder);
// Ends a pause: first the clock, then the requests that waited.
void resumeWorker(WorkerService& worker);
void tickWorker(WorkerService& worker, base::TimePoint now);

} // namespace lacewing::standin
