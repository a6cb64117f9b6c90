// Approval of workers by the advice service, for queues whose policy allows only approved workers to run a step.
//
// The service answers one question at a time and takes longer for each worker that a question names. A question
// therefore names only as many workers as the waiting tasks of one step are likely to need, best ones first. The
// decision for a worker and a step does not change; only the ticket expires.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// True when the queue needs no approval, or the worker has a ticket that stays valid until a start arrives.
bool isApproved(const TaskRef& ref, const std::string& worker, Millis now);
// Ticket of an approved worker; empty when there is none.
// True unless the worker was denied or not asked about; its ticket may have expired.
bool wasApproved(const TaskRef& ref, const std::string& worker);
std::string ticketFor(const TaskRef& ref, const std::string& worker);
// Next question: for the first step in placement order with waiting tasks and workers to ask about.
// `rank` returns a worker's score for a task; nullopt when the worker cannot take it now.
std::optional<ApprovalQuestion> nextQuestion(
    const Planner& planner, const std::function<std::optional<double>(const Worker&, const TaskRef&)>& rank);

} // namespace lacewing::scheduler
