// Identifiers as distinct types, so that a worker is never passed where a job is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace lacewing::base {

template <typename Tag> struct Id {
    std::string value;

    auto operator<=>(const Id&) const = default; // NOLINT(modernize-use-nullptr): false report of clang-tidy 14
    bool empty() const { return value.empty(); }
};

using InstanceId = Id<struct InstanceTag>; // any machine of the platform
using DaemonId = Id<struct DaemonTag>;     // a lacewingd process, by the name in its settings
using WorkerId = Id<struct WorkerTag>;
using EndpointId = Id<struct EndpointTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RackId = Id<struct RackTag>;
using JobId = Id<struct JobTag>;
using TeamId = Id<struct TeamTag>;
using ServiceId = Id<struct ServiceTag>;
using ShopId = Id<struct ShopTag>;

using Epoch = std::uint64_t;    // fencing epoch of a shard; increases with each change of owner
using Revision = std::uint64_t; // configuration revision; 0 means none

} // namespace lacewing::base

template <typename Tag> struct std::hash<lacewing::base::Id<Tag>> {
    std::size_t operator()(const lacewing::base::Id<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
