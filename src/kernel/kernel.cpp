// Service registry, dependency order, start and stop.
#include "kernel/kernel.h"

#include <algorithm>
#include <set>

namespace lacewing::kernel {

namespace {

    enum class Mark { InProgress, Done };

    struct Walk {
        const Kernel& kernel;
        std::map<std::string, Mark> marks;
        std::vector<std::string> order;
    };

    // Depth-first visit; a service that is met while it is still in progress is part of a cycle.
    base::Result<void, KernelError> visit(Walk& walk, const std::string& name)
    {
        const auto mark = walk.marks.find(name);
        if (mark != walk.marks.end()) {
            if (mark->second == Mark::InProgress)
                return KernelError { KernelCode::DependencyCycle, name, "depends on itself through other services" };
            return base::success();
        }
        walk.marks.emplace(name, Mark::InProgress);
        for (const std::string& dependency : walk.kernel.services.at(name).dependsOn) {
            if (!walk.kernel.services.contains(dependency))
                return KernelError { KernelCode::UnknownDependency, name, "no service named '" + dependency + "'" };
            BOOST_OUTCOME_TRYV(visit(walk, dependency));
        }
        walk.marks[name] = Mark::Done;
        walk.order.push_back(name);
        return base::success();
    }

} // namespace

base::Result<void, KernelError> registerService(Kernel& kernel, Service service)
{
    const std::string name = service.name;
    if (!kernel.services.emplace(name, std::move(service)).second)
        return KernelError { KernelCode::DuplicateName, name, "registered twice" };
    return base::success();
}

base::Result<std::vector<std::string>, KernelError> resolveOrder(const Kernel& kernel)
{
    Walk walk { kernel, {}, {} };
    for (const auto& [name, service] : kernel.services) {
        BOOST_OUTCOME_TRYV(visit(walk, name));
    }
    return walk.order;
}

base::Result<void, KernelError> startAll(Kernel& kernel)
{
    BOOST_OUTCOME_TRY(order, resolveOrder(kernel));
    for (const std::string& name : order) {
        const std::string cause = kernel.services.at(name).start();
        if (!cause.empty()) {
            stopAll(kernel);
            return KernelError { KernelCode::StartFailed, name, cause };
        }
        kernel.startOrder.push_back(name);
    }
    return base::success();
}

void beginStopAll(Kernel& kernel)
{
    for (auto name = kernel.startOrder.rbegin(); name != kernel.startOrder.rend(); ++name) {
        const Service& service = kernel.services.at(*name);
        if (service.beginStop)
            service.beginStop();
    }
}

bool isIdle(const Kernel& kernel)
{
    return std::all_of(kernel.startOrder.begin(), kernel.startOrder.end(), [&kernel](const std::string& name) {
        const Service& service = kernel.services.at(name);
        return !service.isIdle || service.isIdle();
    });
}

void stopAll(Kernel& kernel)
{
    while (!kernel.startOrder.empty()) {
        const std::string name = kernel.startOrder.back();
        kernel.startOrder.pop_back();
        const Service& service = kernel.services.at(name);
        if (service.stop)
            service.stop();
        kernel.interfaces.erase(name);
    }
}

} // namespace lacewing::kernel
