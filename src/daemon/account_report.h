// Client accounts for operators: what the configuration says of them, what was refused here, and on the scheduling
// daemon what their jobs do.
#pragma once

#include "daemon/access.h"
#include "scheduler/scheduler.h"

#include <QJsonObject>

namespace lacewing::daemon {

// `scheduler`: nullptr on the other daemons, which know no numbers of jobs. Accounts that have jobs or refusals and are
// not in the configuration any more are listed with `isRemoved`. Refusals without a known key have a member of their
// own.
QJsonObject accountReport(const scheduler::Configuration& configuration, const AccountRefusals& refusals,
    const scheduler::Scheduler* scheduler);

} // namespace lacewing::daemon
