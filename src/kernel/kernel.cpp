// Service registry, dependency order, start and stop.
#include "kernel/kernel.h"

#include <algorithm>
#include <set>

namespace lacewing::kernel {

namespace {

    enum class VisitState { InProgress, Done };

    struct Traversal {
        const Kernel& kernel;
        std::map<std::string, VisitState> states;
        std::vector<std::string> order;
    };

    // Depth-first traversal; a service that is reached while its own visit is in progress is part of a cycle.
    base::Result<void, KernelError> visit(Traversal& traversal, const std::string& name)
    {
        const auto state = traversal.states.find(name);
        if (state != traversal.states.end()) {
            if (state->second == VisitState::InProgress)
                return KernelError { KernelCode::DependencyCycle, name, "depends on itself through other services" };
            return base::success();
        }
        traversal.states.emplace(name, VisitState::InProgress);
        for (const std::string& dependency : traversal.kernel.services.at(name).dependsOn) {
            if (!traversal.kernel.services.contains(dependency))
                return KernelError { KernelCode::UnknownDependency, name, "no service named '" + dependency + "'" };
            BOOST_OUTCOME_TRYV(visit(traversal, dependency));
        }
        traversal.states[name] = VisitState::Done;
        traversal.order.push_back(name);
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
    Traversal traversal { kernel, {}, {} };
    for (const auto& [name, service] : kernel.services) {
        BOOST_OUTCOME_TRYV(visit(traversal, name));
    }
    return traversal.order;
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
        kernel.startedServices.push_back(name);
    }
    return base::success();
}

void beginStopAll(Kernel& kernel)
{
    for (auto name = kernel.startedServices.rbegin(); name != kernel.startedServices.rend(); ++name) {
        const Service& service = kernel.services.at(*name);
        if (service.beginStop)
            service.beginStop();
    }
}

bool isIdle(const Kernel& kernel)
{
    return std::all_of(
        kernel.startedServices.begin(), kernel.startedServices.end(), [&kernel](const std::string& name) {
            const Service& service = kernel.services.at(name);
            return !service.isIdle || service.isIdle();
        });
}

void stopAll(Kernel& kernel)
{
    while (!kernel.startedServices.empty()) {
        const std::string name = kernel.startedServices.back();
        kernel.startedServices.pop_back();
        const Service& service = kernel.services.at(name);
        if (service.stop)
            service.stop();
        kernel.interfaces.erase(name);
    }
}

} // namespace lacewing::kernel
