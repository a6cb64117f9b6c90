// Steps of the pressure response.
#include "batch/pressure.h"

namespace lacewing::batch {

bool updatePressure(Pressure& pressure, const PressureLimits& limits, double value, base::TimePoint now)
{
    const bool isHeld = pressure.hasChanged && now - pressure.changedAt < limits.hold;
    if (isHeld)
        return false;
    PressureStep next = pressure.step;
    if (value > limits.enter && pressure.step != PressureStep::Stop)
        next = static_cast<PressureStep>(static_cast<int>(pressure.step) + 1);
    else if (value < limits.leave && pressure.step != PressureStep::None)
        next = static_cast<PressureStep>(static_cast<int>(pressure.step) - 1);
    if (next == pressure.step)
        return false;
    pressure.step = next;
    pressure.changedAt = now;
    pressure.hasChanged = true;
    return true;
}

} // namespace lacewing::batch
