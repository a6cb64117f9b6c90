// JSON form of a shard. Fields with their default value are left out; texts are printable ASCII.
//
// The text is appended directly: a daemon encodes its shards several times a second, and building QJsonObjects for a
// shard of 500 jobs costs more than the rest of the dispatcher. Reading goes through QJsonDocument.
#include "batch/shard.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <charconv>
#include <limits>

namespace lacewing::batch {

namespace {

    using Code = ShardError::Code;

    // --- Writing ---

    void appendNumber(std::string& out, std::int64_t value)
    {
        char buffer[24];
        const auto end = std::to_chars(buffer, buffer + sizeof buffer, value).ptr;
        out.append(buffer, end);
    }

    void appendText(std::string& out, std::string_view text)
    {
        out += '"';
        for (const char c : text) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += c;
        }
        out += '"';
    }

    // Writes `,"key":` or, as the first member, `"key":`.
    void appendKey(std::string& out, std::string_view key)
    {
        if (out.back() != '{')
            out += ',';
        out += '"';
        out += key;
        out += "\":";
    }

    void numberField(std::string& out, std::string_view key, std::int64_t value, std::int64_t absent = 0)
    {
        if (value == absent)
            return;
        appendKey(out, key);
        appendNumber(out, value);
    }

    void textField(std::string& out, std::string_view key, std::string_view value)
    {
        if (value.empty())
            return;
        appendKey(out, key);
        appendText(out, value);
    }

    void resourcesField(std::string& out, std::string_view key, const Resources& value)
    {
        if (value == Resources {})
            return;
        appendKey(out, key);
        out += '[';
        appendNumber(out, value.cpuMilli);
        out += ',';
        appendNumber(out, value.memoryMb);
        out += ',';
        appendNumber(out, value.accelerators);
        out += ']';
    }

    template <typename Items, typename Append>
    void arrayField(std::string& out, std::string_view key, const Items& items, Append append)
    {
        if (items.empty())
            return;
        appendKey(out, key);
        out += '[';
        bool isFirst = true;
        for (const auto& item : items) {
            if (!isFirst)
                out += ',';
            isFirst = false;
            append(item);
        }
        out += ']';
    }

    void appendJob(std::string& out, const Job& job)
    {
        out += '{';
        textField(out, "id", job.spec.id.value);
        textField(out, "team", job.spec.team.value);
        textField(out, "class", base::nameOf(jobClassNames, job.spec.jobClass));
        textField(out, "service", job.spec.service.value);
        resourcesField(out, "resources", job.spec.resources);
        numberField(out, "durationMs", job.spec.durationMs);
        textField(out, "dataCentre", job.spec.dataCentre.value);
        textField(out, "state", base::nameOf(jobStateNames, job.state));
        numberField(out, "order", static_cast<std::int64_t>(job.order));
        numberField(out, "attempt", job.attempt);
        textField(out, "worker", job.worker.value);
        resourcesField(out, "granted", job.granted);
        numberField(out, "checkpointMs", job.checkpointMs);
        numberField(out, "progressMs", job.progressMs);
        numberField(out, "cancel", job.isCancelRequested ? 1 : 0);
        numberField(out, "confirmed", job.isConfirmed ? 1 : 0);
        numberField(out, "evictions", job.evictions);
        arrayField(out, "failedOn", job.failedOn, [&](const base::WorkerId& worker) { appendText(out, worker.value); });
        textField(out, "reason", job.reason);
        textField(out, "target", job.transferTarget);
        numberField(out, "transfer", static_cast<std::int64_t>(job.transferNumber));
        numberField(out, "nextCursor", static_cast<std::int64_t>(job.nextCursor), 1);
        arrayField(out, "events", job.events, [&](const JobEvent& event) {
            out += '[';
            appendNumber(out, static_cast<std::int64_t>(event.cursor));
            out += ',';
            appendText(out, event.text);
            out += ']';
        });
        out += '}';
    }

    std::string encodeOnce(const Shard& shard)
    {
        std::string out;
        out.reserve(512 + shard.jobs.size() * 256);
        out += '{';
        textField(out, "key", shard.key);
        textField(out, "dataCentre", shard.dataCentre.value);
        arrayField(out, "racks", shard.racks, [&](const base::RackId& rack) { appendText(out, rack.value); });
        textField(out, "owner", shard.owner.value);
        numberField(out, "epoch", static_cast<std::int64_t>(shard.epoch));
        numberField(out, "nextTransfer", static_cast<std::int64_t>(shard.nextTransfer), 1);
        numberField(out, "nextOrder", static_cast<std::int64_t>(shard.nextOrder), 1);
        arrayField(out, "transfersFrom", shard.transfersFrom, [&](const auto& entry) {
            out += '{';
            textField(out, "source", entry.first);
            numberField(out, "floor", static_cast<std::int64_t>(entry.second.floor));
            arrayField(out, "accepted", entry.second.accepted,
                [&](std::uint64_t number) { appendNumber(out, static_cast<std::int64_t>(number)); });
            out += '}';
        });
        // Terminal jobs come last, oldest first: their order is the order of `finished`.
        appendKey(out, "jobs");
        out += '[';
        for (const auto& [id, job] : shard.jobs) {
            if (isTerminal(job.state))
                continue;
            if (out.back() != '[')
                out += ',';
            appendJob(out, job);
        }
        for (const base::JobId& id : shard.finished) {
            if (out.back() != '[')
                out += ',';
            appendJob(out, shard.jobs.at(id));
        }
        out += "]}";
        return out;
    }

    // --- Reading ---

    // Collects the first error; later reads return defaults.
    struct Reader {
        const ShardLimits& limits;
        std::string fault;

        void fail(std::string_view where, std::string_view what)
        {
            if (fault.empty())
                fault = std::string(where) + ": " + std::string(what);
        }
        std::int64_t number(const QJsonValue& value, std::string_view where, std::int64_t absent, std::int64_t smallest,
            std::int64_t largest = std::numeric_limits<std::int64_t>::max())
        {
            if (value.isUndefined())
                return absent;
            constexpr std::int64_t notInteger = std::numeric_limits<std::int64_t>::min();
            const std::int64_t read = value.toInteger(notInteger);
            if (!value.isDouble() || read < smallest || read > largest) {
                fail(where, "integer out of range");
                return absent;
            }
            return read;
        }
        std::uint64_t count(const QJsonObject& object, const char* key, std::uint64_t absent = 0)
        {
            const QJsonValue value = object[QLatin1String(key)];
            return static_cast<std::uint64_t>(number(value, key, static_cast<std::int64_t>(absent), 0));
        }
        std::string text(const QJsonValue& value, std::string_view where, std::size_t maxBytes)
        {
            if (value.isUndefined())
                return {};
            std::string read = value.toString().toStdString();
            if (!value.isString() || read.size() > maxBytes) {
                fail(where, "text expected, or too long");
                return {};
            }
            for (const char c : read) {
                if (c < 0x20 || c >= 0x7f) {
                    fail(where, "printable ASCII expected");
                    return {};
                }
            }
            return read;
        }
        std::string text(const QJsonObject& object, const char* key)
        {
            return text(object[QLatin1String(key)], key, limits.maxIdBytes);
        }
        Resources resources(const QJsonObject& object, const char* key)
        {
            const QJsonValue value = object[QLatin1String(key)];
            if (value.isUndefined())
                return {};
            const QJsonArray array = value.toArray();
            if (array.size() != 3) {
                fail(key, "three numbers expected");
                return {};
            }
            constexpr std::int64_t largest = 4'000'000'000;
            return { number(array[0], key, 0, 0, largest), number(array[1], key, 0, 0, largest),
                number(array[2], key, 0, 0, largest) };
        }
        QJsonArray array(const QJsonObject& object, const char* key, std::size_t maxItems)
        {
            const QJsonValue value = object[QLatin1String(key)];
            if (value.isUndefined())
                return {};
            if (!value.isArray() || static_cast<std::size_t>(value.toArray().size()) > maxItems) {
                fail(key, "array expected, or too long");
                return {};
            }
            return value.toArray();
        }
        template <typename Enum, std::size_t size>
        Enum name(const QJsonObject& object, const char* key, const base::EnumNames<Enum, size>& names)
        {
            const std::optional<Enum> value = base::valueOf(names, text(object, key));
            if (!value)
                fail(key, "unknown name");
            return value.value_or(names[0].first);
        }
    };

    Job readJob(const QJsonObject& object, Reader& reader)
    {
        Job job;
        job.spec.id.value = reader.text(object, "id");
        job.spec.team.value = reader.text(object, "team");
        job.spec.jobClass = reader.name(object, "class", jobClassNames);
        job.spec.service.value = reader.text(object, "service");
        job.spec.resources = reader.resources(object, "resources");
        job.spec.durationMs = static_cast<std::int64_t>(reader.count(object, "durationMs"));
        job.spec.dataCentre.value = reader.text(object, "dataCentre");
        job.state = reader.name(object, "state", jobStateNames);
        job.order = reader.count(object, "order");
        job.attempt = static_cast<std::uint32_t>(reader.number(
            object[QLatin1String("attempt")], "attempt", 0, 0, std::numeric_limits<std::uint32_t>::max()));
        job.worker.value = reader.text(object, "worker");
        job.granted = reader.resources(object, "granted");
        job.checkpointMs = static_cast<std::int64_t>(reader.count(object, "checkpointMs"));
        job.progressMs = static_cast<std::int64_t>(reader.count(object, "progressMs"));
        job.isCancelRequested = reader.count(object, "cancel") != 0;
        job.isConfirmed = reader.count(object, "confirmed") != 0;
        job.evictions = static_cast<std::uint32_t>(reader.count(object, "evictions"));
        for (const QJsonValue worker : reader.array(object, "failedOn", reader.limits.maxFailedWorkers))
            job.failedOn.push_back({ reader.text(worker, "failedOn", reader.limits.maxIdBytes) });
        job.reason = reader.text(object[QLatin1String("reason")], "reason", reader.limits.maxReasonBytes);
        job.transferTarget = reader.text(object, "target");
        job.transferNumber = reader.count(object, "transfer");
        job.nextCursor = reader.count(object, "nextCursor", 1);
        for (const QJsonValue event : reader.array(object, "events", reader.limits.maxEventsPerJob)) {
            const QJsonArray pair = event.toArray();
            const auto cursor = static_cast<std::uint64_t>(reader.number(pair[0], "events", 0, 0));
            job.events.push_back({ cursor, reader.text(pair[1], "events", reader.limits.maxEventBytes) });
        }
        if (job.spec.id.empty())
            reader.fail("id", "missing");
        if (isPlaced(job.state) && (job.worker.empty() || job.attempt == 0))
            reader.fail(job.spec.id.value, "placed job without worker or attempt");
        if (job.state == JobState::Transferring && (job.transferTarget.empty() || job.transferNumber == 0))
            reader.fail(job.spec.id.value, "transfer without target or number");
        return job;
    }

} // namespace

ShardResult<std::string> encode(Shard& shard, const ShardLimits& limits)
{
    for (;;) {
        std::string text = encodeOnce(shard);
        if (text.size() < limits.maxValueBytes)
            return text;
        if (shard.finished.empty())
            return ShardError { Code::TooLarge, std::to_string(text.size()) + " bytes" };
        // Drops the older half of the terminal jobs at once: one encoding for each dropped job would be quadratic.
        const std::size_t keep = shard.finished.size() / 2;
        while (shard.finished.size() > keep) {
            shard.jobs.erase(shard.finished.front());
            shard.finished.pop_front();
        }
    }
}

ShardResult<Shard> decode(std::string_view text, const ShardLimits& limits)
{
    if (text.size() > limits.maxValueBytes)
        return ShardError { Code::TooLarge, std::to_string(text.size()) + " bytes" };
    QJsonParseError parseError {};
    const QByteArray bytes = QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes, &parseError);
    if (!document.isObject())
        return ShardError { Code::Malformed, parseError.errorString().toStdString() };
    const QJsonObject object = document.object();
    Reader reader { limits, {} };
    Shard shard;
    shard.key = reader.text(object, "key");
    shard.dataCentre.value = reader.text(object, "dataCentre");
    for (const QJsonValue rack : reader.array(object, "racks", 64))
        shard.racks.push_back({ reader.text(rack, "racks", limits.maxIdBytes) });
    shard.owner.value = reader.text(object, "owner");
    shard.epoch = reader.count(object, "epoch");
    shard.nextTransfer = reader.count(object, "nextTransfer", 1);
    shard.nextOrder = reader.count(object, "nextOrder", 1);
    for (const QJsonValue entry : reader.array(object, "transfersFrom", 10'000)) {
        const QJsonObject source = entry.toObject();
        TransferWindow window;
        window.floor = reader.count(source, "floor", 1);
        for (const QJsonValue number : reader.array(source, "accepted", 100'000))
            window.accepted.push_back(static_cast<std::uint64_t>(reader.number(number, "accepted", 0, 0)));
        shard.transfersFrom[reader.text(source, "source")] = std::move(window);
    }
    for (const QJsonValue entry : reader.array(object, "jobs", limits.maxJobs + limits.maxFinished)) {
        if (!entry.isObject())
            reader.fail("jobs", "object expected");
        Job job = readJob(entry.toObject(), reader);
        const base::JobId id = job.spec.id;
        if (isTerminal(job.state))
            shard.finished.push_back(id);
        else
            ++shard.active;
        if (!shard.jobs.emplace(id, std::move(job)).second)
            reader.fail(id.value, "job id occurs twice");
    }
    if (!reader.fault.empty())
        return ShardError { Code::Malformed, reader.fault };
    return shard;
}

} // namespace lacewing::batch
