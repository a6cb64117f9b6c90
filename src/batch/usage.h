// Learns real sizes and run times by service from late reports, because declared values are far from them.
//
// Each service keeps a bounded window of ratios used / declared; a request is sized by a quantile of them. Use measured
// now counts separately: a worker's free resources are counted with the larger of committed and measured
// (FleetTask::measured).
#pragma once

#include "batch/types.h"

#include <unordered_map>

namespace lacewing::batch {

struct RatioWindow {
    std::vector<float> values; // ring of the newest ratios
    std::size_t next = 0;
};

struct ServiceUsage {
    RatioWindow cpu;      // used / declared processors
    RatioWindow memory;   // used / declared memory
    RatioWindow duration; // real / declared run time
};

struct UsageModel {
    std::size_t window = 128;        // ratios kept for each service and kind
    std::size_t minObservations = 8; // fewer: the declared value counts
    double cpuQuantile = 0.90;
    double memoryQuantile = 0.98; // memory cannot be throttled
    double margin = 1.10;         // on top of the quantile
    double smallest = 0.10;       // of the declared value
    double largest = 4.0;         // of the declared value
    std::size_t maxServices = 256;
    std::unordered_map<std::string, ServiceUsage> services;
};

void observeUse(UsageModel& model, const base::ServiceId& service, const Resources& declared, const Resources& used);
void observeDuration(UsageModel& model, const base::ServiceId& service, std::int64_t declaredMs, std::int64_t actualMs);
// Size to commit for a task; accelerators stay as declared.
Resources sizeFor(const UsageModel& model, const base::ServiceId& service, const Resources& declared);
std::int64_t durationFor(const UsageModel& model, const base::ServiceId& service, std::int64_t declaredMs);

} // namespace lacewing::batch
