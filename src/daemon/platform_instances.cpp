// Reads the instance list and checks each entry.
#include "daemon/platform_instances.h"

#include "daemon/platform_json.h"

#include <QHostAddress>
#include <QJsonArray>

namespace lacewing::daemon {

namespace {

    constexpr std::size_t longestName = 100;
    constexpr std::uint64_t mostSlots = 64;
    constexpr std::uint64_t mostConnections = 65536;

    std::optional<InstanceEntry> readInstance(const QJsonValue& value)
    {
        const auto id = readText(value["id"], longestName);
        const auto kind = base::valueOf(instanceKindNames, value["kind"].toString().toStdString());
        const auto dataCentre = readText(value["dataCentre"], longestName);
        const auto state = base::valueOf(instanceStateNames, value["state"].toString("live").toStdString());
        const auto address = readText(value["address"], longestName);
        const auto port = readCount(value["port"]);
        if (!id || id->empty() || !kind || !dataCentre || !state || !address || !port)
            return std::nullopt;
        if (QHostAddress(QString::fromStdString(*address)).isNull() || *port == 0 || *port > 65535)
            return std::nullopt;
        InstanceEntry entry;
        entry.id = { *id };
        entry.kind = *kind;
        entry.dataCentre = { *dataCentre };
        entry.rack = readText(value["rack"], longestName).value_or("");
        entry.address = *address;
        entry.port = static_cast<std::uint16_t>(*port);
        entry.state = *state;
        entry.slots = static_cast<int>(std::min(readCount(value["slots"]).value_or(0), mostSlots));
        entry.connections = static_cast<int>(std::min(readCount(value["connections"]).value_or(0), mostConnections));
        entry.service = readText(value["service"], longestName).value_or("");
        return entry;
    }

    InstancesError error(InstancesErrorCode code, std::string detail) { return { code, std::move(detail) }; }

} // namespace

PlatformInstances::PlatformInstances(http::Client& client, std::string baseUrl, int timeoutMs)
    : m_client(client)
    , m_baseUrl(std::move(baseUrl))
    , m_timeoutMs(timeoutMs)
{
}

void PlatformInstances::read(const InstancesCallback& callback)
{
    m_client.send(
        platformRequest("GET", m_baseUrl + "/v1/instances", m_timeoutMs), [callback](const http::ClientResult& result) {
            if (!result.ok()) {
                callback(error(
                    InstancesErrorCode::Unreachable, std::string(base::nameOf(http::failureNames, result.failure))));
                return;
            }
            if (result.status != 200) {
                callback(error(InstancesErrorCode::Refused, "status " + std::to_string(result.status)));
                return;
            }
            const auto object = readObject(result.body);
            if (!object || !(*object)["instances"].isArray()) {
                callback(error(InstancesErrorCode::BadAnswer, "no list of instances"));
                return;
            }
            std::vector<InstanceEntry> entries;
            const QJsonArray instances = (*object)["instances"].toArray();
            for (const QJsonValue value : instances) {
                auto entry = readInstance(value);
                if (!entry) {
                    // A partial list would make listed instances look gone.
                    callback(error(InstancesErrorCode::BadAnswer, "entry with a missing or wrong field"));
                    return;
                }
                entries.push_back(std::move(*entry));
            }
            callback(std::move(entries));
        });
}

} // namespace lacewing::daemon
