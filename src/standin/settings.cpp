// Schema and reading of the settings file.
#include "standin/settings.h"

#include <QJsonArray>

namespace lacewing::standin {

namespace {

    using base::Field;
    using base::FieldType;

    constexpr Field entryFields[] = {
        { .key = "id",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .isRequired = true,
            .doc = "instance id" },
        { .key = "dataCentre",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .isRequired = true,
            .doc = "data centre" },
        { .key = "address",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .defaultJson = "\"127.0.0.1\"",
            .doc = "IP address" },
        { .key = "port",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 65535,
            .isRequired = true,
            .doc = "port of the daemon's HTTP interface" },
    };

    constexpr Field fields[] = {
        { .key = "address",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .defaultJson = "\"127.0.0.1\"",
            .doc = "loopback address to listen on" },
        { .key = "basePort",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 60000,
            .defaultJson = "0",
            .doc = "port of admin and instance list; the next ones are store, workers, endpoints; 0: by the system" },
        { .key = "dataCentres",
            .type = FieldType::TextList,
            .minimum = 1,
            .maximum = 24,
            .defaultJson = "[\"dc1\",\"dc2\",\"dc3\"]",
            .doc = "names of the data centres" },
        { .key = "racks",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 1000,
            .defaultJson = "2",
            .doc = "racks in each data centre" },
        { .key = "workers",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 3000,
            .defaultJson = "6",
            .doc = "workers in all" },
        { .key = "endpoints",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 500,
            .defaultJson = "6",
            .doc = "endpoints in all" },
        { .key = "entries",
            .type = FieldType::ObjectList,
            .minimum = 0,
            .maximum = 100,
            .defaultJson = "[]",
            .doc = "daemons that the instance list names",
            .fields = entryFields },
        { .key = "cpuMilli",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 1e9,
            .defaultJson = "16000",
            .unit = "milli-processors",
            .doc = "processors of a worker" },
        { .key = "memoryMb",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 1e9,
            .defaultJson = "60000",
            .unit = "MB",
            .doc = "memory of a worker" },
        { .key = "accelerators",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 1000,
            .defaultJson = "0",
            .doc = "accelerators of a worker" },
        { .key = "reportLagMs",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 600000,
            .defaultJson = "2000",
            .unit = "ms",
            .doc = "age of the newest visible usage report" },
        { .key = "checkpointMs",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 600000,
            .defaultJson = "50",
            .unit = "ms",
            .doc = "time that a checkpoint takes" },
        { .key = "service",
            .type = FieldType::Text,
            .minimum = 0,
            .maximum = 100,
            .defaultJson = "\"\"",
            .doc = "service of the endpoints; empty: any" },
        { .key = "slots",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 64,
            .defaultJson = "8",
            .doc = "slots of an endpoint" },
        { .key = "connections",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 1000,
            .defaultJson = "64",
            .doc = "connections of an endpoint" },
        { .key = "serviceMs",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 600000,
            .defaultJson = "5",
            .unit = "ms",
            .doc = "service time of an endpoint" },
        { .key = "storeDelayMs",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 600000,
            .defaultJson = "1",
            .unit = "ms",
            .doc = "reply time of the store" },
        { .key = "instancesLagMs",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 600000,
            .defaultJson = "0",
            .unit = "ms",
            .doc = "age of the instance list" },
    };

    const base::Schema schema { fields };

    std::string textOf(const QJsonObject& object, const char* key)
    {
        return object[QLatin1String(key)].toString().toStdString();
    }

    int numberOf(const QJsonObject& object, const char* key) { return object[QLatin1String(key)].toInt(); }

} // namespace

const base::Schema& settingsSchema() { return schema; }

base::Result<StandinSettings, base::InputErrors> parseSettings(std::string_view text, std::string_view file)
{
    const auto parsed = base::parseJsonObject(text, file);
    if (!parsed)
        return parsed.error();
    const base::InputErrors errors
        = base::checkSchema(parsed.value().object, schema, base::locatorFor(std::string(file), parsed.value().keys));
    if (!errors.empty())
        return errors;
    const QJsonObject object = base::withDefaults(parsed.value().object, schema);
    StandinSettings settings;
    settings.address = textOf(object, "address");
    settings.basePort = numberOf(object, "basePort");
    settings.dataCentres.clear();
    const QJsonArray dataCentres = object["dataCentres"].toArray();
    for (const auto& name : dataCentres)
        settings.dataCentres.push_back(name.toString().toStdString());
    settings.racks = numberOf(object, "racks");
    settings.workers = numberOf(object, "workers");
    settings.endpoints = numberOf(object, "endpoints");
    const QJsonArray entries = object["entries"].toArray();
    for (const auto& value : entries) {
        const QJsonObject entry = base::withDefaults(value.toObject(), { entryFields });
        settings.entries.push_back({ textOf(entry, "id"), textOf(entry, "dataCentre"), textOf(entry, "address"),
            static_cast<std::uint16_t>(numberOf(entry, "port")) });
    }
    settings.cpuMilli = numberOf(object, "cpuMilli");
    settings.memoryMb = numberOf(object, "memoryMb");
    settings.accelerators = numberOf(object, "accelerators");
    settings.reportLagMs = numberOf(object, "reportLagMs");
    settings.checkpointMs = numberOf(object, "checkpointMs");
    settings.service = textOf(object, "service");
    settings.slots = numberOf(object, "slots");
    settings.connections = numberOf(object, "connections");
    settings.serviceMs = numberOf(object, "serviceMs");
    settings.storeDelayMs = numberOf(object, "storeDelayMs");
    settings.instancesLagMs = numberOf(object, "instancesLagMs");
    return settings;
}

} // namespace lacewing::standin
