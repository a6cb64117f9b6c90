// Schema of the settings file and its translation into the typed struct.
#include "daemon/settings.h"

#include <QFile>
#include <QHostAddress>
#include <QJsonArray>
#include <QUrl>

namespace lacewing::daemon {

namespace {

    using base::Field;
    using base::FieldType;
    using base::Rule;

    bool isAddress(const QJsonValue& value) { return !QHostAddress(value.toString()).isNull(); }

    bool isHttpUrl(const QJsonValue& value)
    {
        const QUrl url(value.toString(), QUrl::StrictMode);
        return url.isValid() && url.scheme() == "http" && !QHostAddress(url.host()).isNull() && url.port() > 0;
    }

    bool isHostAndPort(const QJsonValue& value) { return isHttpUrl("http://" + value.toString()); }

    constexpr Field daemonFields[] = {
        { .key = "name",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .isRequired = true,
            .doc = "name of this daemon, unique in the system; the id of its instance" },
        { .key = "dataCentre",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .isRequired = true,
            .doc = "data centre of this instance" },
    };

    constexpr Field httpFields[] = {
        { .key = "address",
            .type = FieldType::Text,
            .minimum = 2,
            .maximum = 45,
            .defaultJson = "\"127.0.0.1\"",
            .doc = "IP address of the HTTP interface" },
        { .key = "port",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 65535,
            .isRequired = true,
            .doc = "TCP port of the HTTP interface" },
        { .key = "headerBytes",
            .type = FieldType::Integer,
            .minimum = 1024,
            .maximum = 1048576,
            .defaultJson = "16384",
            .unit = "bytes",
            .doc = "longest request line and headers" },
        { .key = "bodyBytes",
            .type = FieldType::Integer,
            .minimum = 1024,
            .maximum = 67108864,
            .defaultJson = "1048576",
            .unit = "bytes",
            .doc = "longest body of an operator's or job request" },
        { .key = "serviceBodyBytes",
            .type = FieldType::Integer,
            .minimum = 1024,
            .maximum = 67108864,
            .defaultJson = "8388608",
            .unit = "bytes",
            .doc = "longest body of a request to a service" },
        { .key = "connections",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 100000,
            .defaultJson = "1000",
            .doc = "open connections of callers" },
        { .key = "headerTimeoutMs",
            .type = FieldType::Integer,
            .minimum = 10,
            .maximum = 600000,
            .defaultJson = "5000",
            .unit = "ms",
            .doc = "from the first byte of a request to the end of its headers" },
        { .key = "bodyTimeoutMs",
            .type = FieldType::Integer,
            .minimum = 10,
            .maximum = 600000,
            .defaultJson = "15000",
            .unit = "ms",
            .doc = "from the end of the headers to the end of the body" },
        { .key = "idleTimeoutMs",
            .type = FieldType::Integer,
            .minimum = 10,
            .maximum = 3600000,
            .defaultJson = "30000",
            .unit = "ms",
            .doc = "connection without a request" },
    };
    constexpr Rule httpRules[] = {
        { .key = "address",
            .doc = "address is an IP address",
            .holds = [](const QJsonObject& o) { return isAddress(o["address"]); } },
        { .key = "serviceBodyBytes",
            .doc = "serviceBodyBytes is at least bodyBytes",
            .holds
            = [](const QJsonObject& o) { return o["serviceBodyBytes"].toDouble() >= o["bodyBytes"].toDouble(); } },
    };

    constexpr Field peerFields[] = {
        { .key = "address",
            .type = FieldType::Text,
            .minimum = 2,
            .maximum = 45,
            .defaultJson = "\"127.0.0.1\"",
            .doc = "IP address of the interface for other daemons" },
        { .key = "port",
            .type = FieldType::Integer,
            .minimum = 1,
            .maximum = 65535,
            .isRequired = true,
            .doc = "TCP port of the interface for other daemons" },
    };
    constexpr Rule peerRules[] = {
        { .key = "address",
            .doc = "address is an IP address",
            .holds = [](const QJsonObject& o) { return isAddress(o["address"]); } },
    };

    constexpr Field seedFields[] = {
        { .key = "daemon",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .isRequired = true,
            .doc = "name of the other daemon" },
        { .key = "dataCentre",
            .type = FieldType::Text,
            .minimum = 1,
            .maximum = 100,
            .isRequired = true,
            .doc = "its data centre" },
        { .key = "peerAddress",
            .type = FieldType::Text,
            .minimum = 3,
            .maximum = 60,
            .isRequired = true,
            .doc = "ADDRESS:PORT of its peer interface" },
    };
    constexpr Rule seedRules[] = {
        { .key = "peerAddress",
            .doc = "peerAddress is ADDRESS:PORT with an IP address",
            .holds = [](const QJsonObject& o) { return isHostAndPort(o["peerAddress"]); } },
    };

    constexpr Field platformFields[] = {
        { .key = "storeUrl",
            .type = FieldType::Text,
            .minimum = 8,
            .maximum = 200,
            .isRequired = true,
            .doc = "http://ADDRESS:PORT of the platform's store" },
        { .key = "instancesUrl",
            .type = FieldType::Text,
            .minimum = 8,
            .maximum = 200,
            .isRequired = true,
            .doc = "http://ADDRESS:PORT of the platform's instance list" },
        { .key = "storeTimeoutMs",
            .type = FieldType::Integer,
            .minimum = 100,
            .maximum = 60000,
            .defaultJson = "2000",
            .unit = "ms",
            .doc = "longest wait for an answer of the store" },
        { .key = "instancesIntervalMs",
            .type = FieldType::Integer,
            .minimum = 100,
            .maximum = 60000,
            .defaultJson = "1000",
            .unit = "ms",
            .doc = "time between two reads of the instance list" },
        { .key = "storeWritesPerSecond",
            .type = FieldType::Number,
            .minimum = 0.1,
            .maximum = 1000,
            .defaultJson = "20",
            .unit = "calls/s",
            .doc = "budget of this daemon for writes to the store" },
        { .key = "storeReadsPerSecond",
            .type = FieldType::Number,
            .minimum = 1,
            .maximum = 2000,
            .defaultJson = "40",
            .unit = "calls/s",
            .doc = "budget of this daemon for reads of the store; a waiting watch counts as one" },
    };
    constexpr Rule platformRules[] = {
        { .key = "storeUrl",
            .doc = "storeUrl is http://ADDRESS:PORT with an IP address",
            .holds = [](const QJsonObject& o) { return isHttpUrl(o["storeUrl"]); } },
        { .key = "instancesUrl",
            .doc = "instancesUrl is http://ADDRESS:PORT with an IP address",
            .holds = [](const QJsonObject& o) { return isHttpUrl(o["instancesUrl"]); } },
    };

    constexpr Field batchFields[] = {
        { .key = "taskLeaseMs",
            .type = FieldType::Integer,
            .minimum = 2000,
            .maximum = 3600000,
            .defaultJson = "30000",
            .unit = "ms",
            .doc = "lease of a task at its worker; a lost worker's tasks resume after it" },
        { .key = "commitIntervalMs",
            .type = FieldType::Integer,
            .minimum = 10,
            .maximum = 10000,
            .defaultJson = "200",
            .unit = "ms",
            .doc = "least time between two writes of one shard" },
        { .key = "ownerSilenceMs",
            .type = FieldType::Integer,
            .minimum = 1000,
            .maximum = 600000,
            .defaultJson = "5000",
            .unit = "ms",
            .doc = "silence of a shard's owner before another daemon takes the shard over" },
    };
    constexpr Rule batchRules[] = {
        { .key = "commitIntervalMs",
            .doc = "commitIntervalMs is less than a tenth of taskLeaseMs",
            .holds =
                [](const QJsonObject& o) {
                    return o["commitIntervalMs"].toDouble() * 10 < o["taskLeaseMs"].toDouble();
                } },
    };

    constexpr Field rootFields[] = {
        { .key = "daemon", .type = FieldType::Object, .isRequired = true, .doc = "identity", .fields = daemonFields },
        { .key = "http",
            .type = FieldType::Object,
            .isRequired = true,
            .doc = "interface for callers and operators",
            .fields = httpFields,
            .rules = httpRules },
        { .key = "peer",
            .type = FieldType::Object,
            .isRequired = true,
            .doc = "interface for other daemons",
            .fields = peerFields,
            .rules = peerRules },
        { .key = "seeds",
            .type = FieldType::ObjectList,
            .minimum = 0,
            .maximum = 1000,
            .defaultJson = "[]",
            .doc = "other daemons that are asked before the instance list has been read",
            .fields = seedFields,
            .rules = seedRules },
        { .key = "platform",
            .type = FieldType::Object,
            .isRequired = true,
            .doc = "interfaces of the platform",
            .fields = platformFields,
            .rules = platformRules },
        { .key = "batch", .type = FieldType::Object, .doc = "batch work", .fields = batchFields, .rules = batchRules },
        { .key = "drainTimeoutMs",
            .type = FieldType::Integer,
            .minimum = 0,
            .maximum = 3600000,
            .defaultJson = "30000",
            .unit = "ms",
            .doc = "longest planned stop; requests still open then are cut off and reported" },
        { .key = "longestPollMs",
            .type = FieldType::Integer,
            .minimum = 100,
            .maximum = 300000,
            .defaultJson = "30000",
            .unit = "ms",
            .doc = "longest wait of one poll for events" },
        { .key = "logLevel",
            .type = FieldType::Choice,
            .choices = "debug|info|warning|error",
            .defaultJson = "\"info\"",
            .doc = "lowest level that is logged" },
    };
    constexpr Rule rootRules[] = {
        { .key = "peer.port",
            .doc = "http and peer use different ports",
            .holds =
                [](const QJsonObject& o) {
                    return o["http"]["port"] != o["peer"]["port"] || o["http"]["address"] != o["peer"]["address"];
                } },
    };

    std::string text(const QJsonValue& value) { return value.toString().toStdString(); }

    ListenAddress toListenAddress(const QJsonValue& value)
    {
        return { text(value["address"]), static_cast<std::uint16_t>(value["port"].toInt()) };
    }

    HttpSettings toHttpSettings(const QJsonValue& value)
    {
        HttpSettings http;
        http.listen = toListenAddress(value);
        http.headerBytes = value["headerBytes"].toInteger();
        http.bodyBytes = value["bodyBytes"].toInteger();
        http.serviceBodyBytes = value["serviceBodyBytes"].toInteger();
        http.connections = value["connections"].toInt();
        http.headerTimeoutMs = value["headerTimeoutMs"].toInt();
        http.bodyTimeoutMs = value["bodyTimeoutMs"].toInt();
        http.idleTimeoutMs = value["idleTimeoutMs"].toInt();
        return http;
    }

    PlatformSettings toPlatformSettings(const QJsonValue& value)
    {
        PlatformSettings platform;
        platform.storeUrl = text(value["storeUrl"]);
        platform.instancesUrl = text(value["instancesUrl"]);
        platform.storeTimeoutMs = value["storeTimeoutMs"].toInt();
        platform.instancesIntervalMs = value["instancesIntervalMs"].toInt();
        platform.storeWritesPerSecond = value["storeWritesPerSecond"].toDouble();
        platform.storeReadsPerSecond = value["storeReadsPerSecond"].toDouble();
        return platform;
    }

    Settings toSettings(const QJsonObject& object)
    {
        Settings settings;
        settings.daemon = { text(object["daemon"]["name"]) };
        settings.dataCentre = { text(object["daemon"]["dataCentre"]) };
        settings.http = toHttpSettings(object["http"]);
        settings.peer = toListenAddress(object["peer"]);
        for (const QJsonValue seed : object["seeds"].toArray())
            settings.seeds.push_back(
                { { text(seed["daemon"]) }, { text(seed["dataCentre"]) }, text(seed["peerAddress"]) });
        settings.platform = toPlatformSettings(object["platform"]);
        settings.batch.taskLeaseMs = object["batch"]["taskLeaseMs"].toInt();
        settings.batch.commitIntervalMs = object["batch"]["commitIntervalMs"].toInt();
        settings.batch.ownerSilenceMs = object["batch"]["ownerSilenceMs"].toInt();
        settings.drainTimeoutMs = object["drainTimeoutMs"].toInt();
        settings.longestPollMs = object["longestPollMs"].toInt();
        settings.logLevel
            = base::valueOf(kernel::logLevelNames, text(object["logLevel"])).value_or(kernel::LogLevel::Info);
        return settings;
    }

} // namespace

base::Schema settingsSchema() { return { rootFields, rootRules }; }

base::Result<Settings, base::InputErrors> parseSettings(const std::string& text, const std::string& file)
{
    auto parsed = base::parseJsonObject(text, file);
    if (parsed.has_error())
        return std::move(parsed.error());
    const base::Schema schema = settingsSchema();
    base::InputErrors errors
        = base::checkSchema(parsed.value().object, schema, base::locatorFor(file, parsed.value().keys));
    if (!errors.empty())
        return errors;
    return toSettings(base::withDefaults(parsed.value().object, schema));
}

base::Result<Settings, base::InputErrors> readSettings(const std::string& file)
{
    QFile source(QString::fromStdString(file));
    if (!source.open(QIODevice::ReadOnly)) {
        base::InputError error;
        error.code = base::InputError::Code::Missing;
        error.file = file;
        error.detail = "the settings file cannot be read: " + source.errorString().toStdString();
        return base::InputErrors { error };
    }
    return parseSettings(source.readAll().toStdString(), file);
}

} // namespace lacewing::daemon
