// Response of one worker to pressure, in steps with hysteresis: throttle batch, stop admitting, checkpoint and move,
// stop.
//
// Pressure is the larger of measured processor use / capacity and the predicted slowdown of urgent tasks - 1. One step
// up needs pressure above `enter` for `hold`; one step down needs pressure below `leave` for `hold`.
#pragma once

#include "base/names.h"
#include "base/time.h"

namespace lacewing::batch {

enum class PressureStep { None, Throttle, NoAdmit, Move, Stop };
constexpr base::EnumNames<PressureStep, 5> pressureStepNames { {
    { PressureStep::None, "none" },
    { PressureStep::Throttle, "throttle" },
    { PressureStep::NoAdmit, "noAdmit" },
    { PressureStep::Move, "move" },
    { PressureStep::Stop, "stop" },
} };

struct PressureLimits {
    double enter = 0.85;
    double leave = 0.70;
    base::Duration hold = base::seconds(30); // least time in a step
};

struct Pressure {
    PressureStep step = PressureStep::None;
    base::TimePoint changedAt; // of the last step
    bool hasChanged = false;   // changedAt is set
};

// Returns true when the step changed. The first step up is immediate.
bool updatePressure(Pressure& pressure, const PressureLimits& limits, double value, base::TimePoint now);

} // namespace lacewing::batch
