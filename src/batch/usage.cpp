// Quantiles of used / declared by service.
#include "batch/usage.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lacewing::batch {

namespace {

    ServiceUsage* serviceOf(UsageModel& model, const base::ServiceId& service)
    {
        const auto found = model.services.find(service.value);
        if (found != model.services.end())
            return &found->second;
        if (model.services.size() >= model.maxServices)
            return nullptr;
        return &model.services[service.value];
    }

    void add(RatioWindow& window, std::size_t size, double ratio)
    {
        const auto value = static_cast<float>(ratio);
        if (window.values.size() < size) {
            window.values.push_back(value);
            return;
        }
        window.values[window.next] = value;
        window.next = (window.next + 1) % size;
    }

    std::optional<double> quantileOf(const RatioWindow& window, std::size_t least, double quantile)
    {
        if (window.values.size() < std::max<std::size_t>(least, 1))
            return std::nullopt;
        std::vector<float> sorted = window.values;
        const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size()))) - 1;
        const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(rank, sorted.size() - 1));
        std::nth_element(sorted.begin(), place, sorted.end());
        return static_cast<double>(*place);
    }

    std::int64_t scaled(const UsageModel& model, std::int64_t declared, std::optional<double> ratio)
    {
        if (!ratio)
            return declared;
        const double factor = std::clamp(*ratio * model.margin, model.smallest, model.largest);
        return std::max<std::int64_t>(1, std::llround(static_cast<double>(declared) * factor));
    }

} // namespace

void observeUse(UsageModel& model, const base::ServiceId& service, const Resources& declared, const Resources& used)
{
    ServiceUsage* usage = serviceOf(model, service);
    if (!usage)
        return;
    if (declared.cpuMilli > 0)
        add(usage->cpu, model.window, static_cast<double>(used.cpuMilli) / static_cast<double>(declared.cpuMilli));
    if (declared.memoryMb > 0)
        add(usage->memory, model.window, static_cast<double>(used.memoryMb) / static_cast<double>(declared.memoryMb));
}

void observeDuration(UsageModel& model, const base::ServiceId& service, std::int64_t declaredMs, std::int64_t actualMs)
{
    ServiceUsage* usage = serviceOf(model, service);
    if (usage && declaredMs > 0)
        add(usage->duration, model.window, static_cast<double>(actualMs) / static_cast<double>(declaredMs));
}

Resources sizeFor(const UsageModel& model, const base::ServiceId& service, const Resources& declared)
{
    const auto found = model.services.find(service.value);
    if (found == model.services.end())
        return declared;
    const ServiceUsage& usage = found->second;
    Resources size = declared;
    size.cpuMilli = scaled(model, declared.cpuMilli, quantileOf(usage.cpu, model.minObservations, model.cpuQuantile));
    size.memoryMb
        = scaled(model, declared.memoryMb, quantileOf(usage.memory, model.minObservations, model.memoryQuantile));
    return size;
}

std::int64_t durationFor(const UsageModel& model, const base::ServiceId& service, std::int64_t declaredMs)
{
    const auto found = model.services.find(service.value);
    if (found == model.services.end())
        return declaredMs;
    const std::optional<double> ratio = quantileOf(found->second.duration, model.minObservations, 0.5);
    return ratio ? std::max<std::int64_t>(1, std::llround(static_cast<double>(declaredMs) * *ratio)) : declaredMs;
}

} // namespace lacewing::batch
