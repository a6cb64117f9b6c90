// Interference: filling tasks slow the serving tasks beside them. The tail latencies that workers report are late and
// rough, so the paces of the filling tasks on a worker move in steps, down fast and up slowly.
#include "scheduler/internal.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr double pressureHigh = 0.9;  // reading against target above which filling tasks are slowed
    constexpr double pressureLow = 0.7;   // below which they are let go faster
    constexpr Millis paceStepMs = 700;    // ms; a reading covers half a second, and a pace acts after 100 ms
    constexpr double paceDown = 0.5;      // factor of one step down
    constexpr double paceDownHard = 0.2;  // the same above the target
    constexpr int paceUp = 25;            // percent of one step up
    constexpr int paceOff = 10;           // percent below which a filling task rests

    int nextPace(int pace, double pressure)
    {
        if (pressure > 1)
            pace = static_cast<int>(pace * paceDownHard);
        else if (pressure > pressureHigh)
            pace = static_cast<int>(pace * paceDown);
        else if (pressure < pressureLow)
            return std::min(100, pace + paceUp);
        else
            return pace;
        return pace < paceOff ? 0 : pace;
    }

    double pressureOn(Scheduler& scheduler, const Worker& worker)
    {
        double highest = 0;
        for (const std::string& name : worker.tasks) {
            const std::optional<TaskRef> ref = findTask(scheduler, name);
            if (ref && ref->step->latencyTargetMs > 0 && ref->task->phase == TaskPhase::Running)
                highest = std::max(highest, static_cast<double>(ref->task->reading) / ref->step->latencyTargetMs);
        }
        return highest;
    }

} // namespace

void relievePressure(Scheduler& scheduler, Orders& orders, Millis now)
{
    for (auto& [id, worker] : scheduler.workers) {
        if (worker.contact != Contact::Held || worker.servingCpu == 0 || worker.reportedAt <= worker.pacedAt)
            continue;
        worker.pressure = pressureOn(scheduler, worker);
        { //TRIAL
            std::string text = std::to_string(worker.entry.capacity.cpuMillicores) + "|";
            for (const std::string& name : worker.tasks) {
                const std::optional<TaskRef> ref = findTask(scheduler, name);
                if (!ref || ref->task->phase != TaskPhase::Running) continue;
                text += (ref->step->latencyTargetMs > 0 ? "S," : ref->step->isFilling ? "F," : "K,") + ref->step->image + "," + std::to_string(ref->step->cpuMillicores) + "," + std::to_string(ref->task->reading) + "," + std::to_string(ref->step->latencyTargetMs) + "," + std::to_string(ref->task->pace) + "," + std::to_string(ref->task->percent) + ";";
            }
            note(scheduler, {"reading", {}, {}, id, 0, text, {}});
        }
        if (now - worker.pacedAt < paceStepMs || worker.fillCpu == 0)
            continue;
        for (const std::string& name : worker.tasks) {
            const std::optional<TaskRef> ref = findTask(scheduler, name);
            if (!ref || !ref->step->isFilling || ref->task->phase != TaskPhase::Running)
                continue;
            const int pace = nextPace(ref->task->pace, worker.pressure);
            if (pace == ref->task->pace)
                continue;
            note(scheduler, { "pace", ref->job->request.id, name, id, ref->task->run, "changed",
                                { { "fromPercent", ref->task->pace }, { "toPercent", pace },
                                    { "pressurePercent", static_cast<std::int64_t>(worker.pressure * 100) } } });
            ref->task->pace = pace;
            ref->task->progressAt = now;
            worker.pacedAt = now;
            orders.paces.push_back({ id, name, ref->task->run, pace });
        }
    }
}

} // namespace lacewing::scheduler
