// Approval of workers by the advice service, for queues whose policy allows only some workers to run a step.
//
// The service answers one question at a time and takes longer the more workers a question names, so a question names
// as many as the waiting tasks of one step are likely to need, the best ones first. Whether a worker is allowed does
// not change for a step; only its ticket expires.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// True when tasks of the step may start on the worker now.
bool isApproved(const TaskRef& ref, const std::string& worker, Millis now);
// Ticket of an approved worker; empty when the queue needs none.
std::string ticketFor(const TaskRef& ref, const std::string& worker);
// Next question: the first step in the order of placement that has waiting tasks and workers worth asking about.
// `rank` gives a worker's score for a task; nullopt for one that cannot take it now.
std::optional<ApprovalQuestion> nextQuestion(
    const Planner& planner, const std::function<std::optional<double>(const Worker&, const TaskRef&)>& rank);

} // namespace lacewing::scheduler
