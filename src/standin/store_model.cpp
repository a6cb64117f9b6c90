// Transitions of the store.
#include "standin/store_model.h"

namespace lacewing::standin {

namespace {

    void record(StoreModel& model, const std::string& key, const StoredValue& entry)
    {
        model.events.push_back({ ++model.revision, key, entry.version, entry.value });
        if (model.events.size() > model.eventsKept)
            model.events.pop_front();
    }

    bool isPresent(const StoredValue& entry) { return entry.value.has_value(); }

    WriteResult conflict(const StoredValue* current)
    {
        if (current == nullptr || !isPresent(*current))
            return { WriteOutcome::Conflict, 0, current == nullptr ? std::string() : current->operation };
        return { WriteOutcome::Conflict, current->version, current->operation };
    }

    bool hasPrefix(const std::string& key, const std::string& prefix) { return key.starts_with(prefix); }

} // namespace

const StoredValue* findValue(const StoreModel& model, const std::string& key)
{
    const auto found = model.keys.find(key);
    return found != model.keys.end() && isPresent(found->second) ? &found->second : nullptr;
}

WriteResult writeValue(StoreModel& model, const WriteRequest& request)
{
    if (request.value.size() > model.valueBytes)
        return { WriteOutcome::TooLarge, 0, {} };
    if (request.lease != 0 && !model.leases.contains(request.lease))
        return { WriteOutcome::NoLease, 0, {} };
    const auto found = model.keys.find(request.key);
    const StoredValue* current = found == model.keys.end() ? nullptr : &found->second;
    const std::uint64_t version = current != nullptr && isPresent(*current) ? current->version : 0;
    if (version != request.expect)
        return conflict(current);
    StoredValue& entry = model.keys[request.key];
    ++entry.version;
    entry.value = request.value;
    entry.operation = request.operation;
    entry.lease = request.lease;
    record(model, request.key, entry);
    return { WriteOutcome::Written, entry.version, request.operation };
}

WriteResult removeValue(StoreModel& model, const std::string& key, std::uint64_t expect, const std::string& operation)
{
    const auto found = model.keys.find(key);
    if (found == model.keys.end() || !isPresent(found->second) || found->second.version != expect)
        return conflict(found == model.keys.end() ? nullptr : &found->second);
    StoredValue& entry = found->second;
    ++entry.version;
    entry.value.reset();
    entry.operation = operation;
    entry.lease = 0;
    record(model, key, entry);
    return { WriteOutcome::Written, entry.version, operation };
}

std::vector<std::pair<std::string, StoredValue>> listValues(const StoreModel& model, const std::string& prefix)
{
    std::vector<std::pair<std::string, StoredValue>> result;
    for (auto entry = model.keys.lower_bound(prefix); entry != model.keys.end(); ++entry) {
        if (!hasPrefix(entry->first, prefix))
            break;
        if (isPresent(entry->second))
            result.emplace_back(entry->first, entry->second);
    }
    return result;
}

std::optional<std::vector<StoreEvent>> eventsAfter(
    const StoreModel& model, const std::string& prefix, std::uint64_t after)
{
    // The oldest revision whose successors are all kept.
    const std::uint64_t oldest = model.revision - model.events.size();
    if (after < oldest || after > model.revision)
        return std::nullopt;
    std::vector<StoreEvent> result;
    for (const StoreEvent& event : model.events) {
        if (event.revision > after && hasPrefix(event.key, prefix))
            result.push_back(event);
    }
    return result;
}

void forgetEvents(StoreModel& model)
{
    model.events.clear();
    ++model.revision; // a watch at the newest revision has to list again as well
}

std::uint64_t createLease(StoreModel& model, base::Duration length, base::TimePoint now)
{
    model.leases[++model.lastLease] = { length, now + length };
    return model.lastLease;
}

bool renewLease(StoreModel& model, std::uint64_t lease, base::TimePoint now)
{
    const auto found = model.leases.find(lease);
    if (found == model.leases.end() || found->second.expiresAt <= now)
        return false;
    found->second.expiresAt = now + found->second.length;
    return true;
}

void expireLeases(StoreModel& model, base::TimePoint now, bool all)
{
    for (auto lease = model.leases.begin(); lease != model.leases.end();) {
        if (!all && lease->second.expiresAt > now) {
            ++lease;
            continue;
        }
        for (auto& [key, entry] : model.keys) {
            if (entry.lease != lease->first || !isPresent(entry))
                continue;
            ++entry.version;
            entry.value.reset();
            entry.operation.clear();
            entry.lease = 0;
            record(model, key, entry);
        }
        lease = model.leases.erase(lease);
    }
}

} // namespace lacewing::standin
