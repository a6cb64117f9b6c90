// Micro-kernel: a registry of named services that starts them in dependency order and stops them in reverse.
//
// A service is a plain struct of functions. Services access each other only through interfaces that they publish under
// their name, so that tests can replace a service by another one with the same name.
//
// Life cycle: registerService -> startAll -> beginStopAll (drain) -> isIdle -> stopAll.
#pragma once

#include "base/names.h"
#include "base/result.h"

#include <functional>
#include <map>
#include <string>
#include <typeindex>
#include <vector>

namespace lacewing::kernel {

// --- Errors ---

enum class KernelCode { DuplicateName, UnknownDependency, DependencyCycle, StartFailed };

constexpr base::EnumNames<KernelCode, 4> kernelCodeNames { {
    { KernelCode::DuplicateName, "duplicateName" },
    { KernelCode::UnknownDependency, "unknownDependency" },
    { KernelCode::DependencyCycle, "dependencyCycle" },
    { KernelCode::StartFailed, "startFailed" },
} };

struct KernelError {
    KernelCode code;
    std::string service; // the service that caused the error
    std::string detail;  // cause, for the operator
};

// --- Services ---

// An empty string means that the service started; anything else is the cause of the failure.
using StartFunction = std::function<std::string()>;

struct Service {
    std::string name;                   // unique in a kernel
    std::vector<std::string> dependsOn; // names of services that must be started before this one
    StartFunction start;                // must not block the event loop
    std::function<void()> beginStop;    // stop taking new work; optional
    std::function<bool()> isIdle;       // true when no work is in progress; optional, default true
    std::function<void()> stop;         // release everything; optional
};

// --- Kernel ---

struct PublishedInterface {
    std::type_index type;
    void* pointer; // owned by the publishing service; valid until that service stops
};

struct Kernel {
    std::map<std::string, Service> services;
    std::vector<std::string> startedServices;             // in the order of their start; stopAll goes backwards
    std::map<std::string, PublishedInterface> interfaces; // by service name
};

base::Result<void, KernelError> registerService(Kernel& kernel, Service service);

// Order in which each service comes after its dependencies; ties are broken by name, so the order is the same on every
// run.
base::Result<std::vector<std::string>, KernelError> resolveOrder(const Kernel& kernel);

// Starts all services. When one fails, those already started are stopped in reverse order and the error names the
// service and its cause.
base::Result<void, KernelError> startAll(Kernel& kernel);

// Tells all services, in reverse order, to stop taking new work.
void beginStopAll(Kernel& kernel);

// True when no started service has work in progress.
bool isIdle(const Kernel& kernel);

// Stops all started services in reverse order.
void stopAll(Kernel& kernel);

// --- Interfaces ---

template <typename Interface> void publish(Kernel& kernel, const std::string& name, Interface* instance)
{
    kernel.interfaces.insert_or_assign(name, PublishedInterface { std::type_index(typeid(Interface)), instance });
}

// Returns the interface published under the name, or nullptr when there is none or it has another type.
template <typename Interface> Interface* find(const Kernel& kernel, const std::string& name)
{
    const auto entry = kernel.interfaces.find(name);
    if (entry == kernel.interfaces.end() || entry->second.type != std::type_index(typeid(Interface)))
        return nullptr;
    return static_cast<Interface*>(entry->second.pointer);
}

} // namespace lacewing::kernel
