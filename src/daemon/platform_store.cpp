// Requests to the store and checks on its answers.
#include "daemon/platform_store.h"

#include "daemon/platform_json.h"

#include <QJsonArray>
#include <QTimer>
#include <QUrl>

namespace lacewing::daemon {

namespace {

    using Code = store::Error::Code;

    constexpr std::size_t longestValue = 1'100'000; // bytes; the store holds values up to 1 MB
    constexpr std::size_t longestKey = 1000;
    constexpr std::size_t largestStoredBytes = 1'000'000;

    std::string encoded(const std::string& text)
    {
        // Slashes are part of keys and stay readable.
        return QUrl::toPercentEncoding(QString::fromStdString(text), "/").toStdString();
    }

    store::Error error(Code code, const std::string& detail)
    {
        store::Error result;
        result.code = code;
        result.detail = detail;
        return result;
    }

    // The error of an answer that is not a success, or nothing for status 200.
    std::optional<store::Error> failureOf(const http::ClientResult& result)
    {
        if (!result.ok()) {
            const bool isCertain = result.bytesSent == http::BytesSent::None;
            const std::string_view name = base::nameOf(http::failureNames, result.failure);
            // A refused connection also shows that the store is away, so the breaker must count it: Unavailable is used
            // for both. The write protocols treat Unavailable as "may have taken effect", which is safe.
            return error(Code::Unavailable, std::string(name) + (isCertain ? ", not sent" : ""));
        }
        if (result.status == 200)
            return std::nullopt;
        if (result.status == 404)
            return error(Code::NotFound, "no such key");
        if (result.status == 410)
            return error(Code::WatchExpired, "the revision is too old");
        if (result.status == 413)
            return error(Code::TooLarge, "the store refused the size");
        if (result.status == 409) {
            const auto object = readObject(result.body);
            const auto version = object ? readCount((*object)["version"]) : std::nullopt;
            const auto operation = object ? readText((*object)["operation"], longestKey) : std::nullopt;
            if (version && operation) {
                store::Error conflict = error(Code::Conflict, "another version is stored");
                conflict.version = *version;
                conflict.operation = *operation;
                return conflict;
            }
        }
        return error(Code::Unavailable, "status " + std::to_string(result.status));
    }

    std::optional<store::Entry> readEntry(const QJsonObject& object)
    {
        const auto key = readText(object["key"], longestKey);
        const auto version = readCount(object["version"]);
        const auto value = readText(object["value"], longestValue);
        const auto operation = readText(object["operation"], longestKey);
        if (!key || !version || !value || !operation)
            return std::nullopt;
        return store::Entry { *key, *version, *value, *operation };
    }

    store::Result<store::Version> readVersion(const http::ClientResult& result)
    {
        if (auto failure = failureOf(result))
            return *failure;
        const auto object = readObject(result.body);
        const auto version = object ? readCount((*object)["version"]) : std::nullopt;
        if (!version)
            return error(Code::Unavailable, "answer without a version");
        return *version;
    }

    store::Result<store::Listing> readListing(const http::ClientResult& result)
    {
        if (auto failure = failureOf(result))
            return *failure;
        const auto object = readObject(result.body);
        const auto revision = object ? readCount((*object)["revision"]) : std::nullopt;
        if (!revision || !(*object)["entries"].isArray())
            return error(Code::Unavailable, "answer without revision and entries");
        store::Listing listing;
        listing.revision = *revision;
        const QJsonArray entries = (*object)["entries"].toArray();
        for (const QJsonValue value : entries) {
            auto entry = readEntry(value.toObject());
            if (!entry)
                return error(Code::Unavailable, "entry with a missing or wrong field");
            listing.entries.push_back(std::move(*entry));
        }
        return listing;
    }

    store::Result<store::WatchAnswer> readWatch(const http::ClientResult& result)
    {
        if (auto failure = failureOf(result))
            return *failure;
        const auto object = readObject(result.body);
        const auto revision = object ? readCount((*object)["revision"]) : std::nullopt;
        if (!revision || !(*object)["events"].isArray())
            return error(Code::Unavailable, "answer without revision and events");
        store::WatchAnswer answer;
        answer.revision = *revision;
        const QJsonArray events = (*object)["events"].toArray();
        for (const QJsonValue value : events) {
            const auto key = readText(value["key"], longestKey);
            const auto version = readCount(value["version"]);
            const bool isRemoved = value["value"].isNull();
            const auto text = readText(value["value"], longestValue);
            if (!key || !version || (!isRemoved && !text))
                return error(Code::Unavailable, "event with a missing or wrong field");
            answer.events.push_back({ *key, *version, text });
        }
        return answer;
    }

} // namespace

PlatformStore::PlatformStore(http::Client& client, std::string baseUrl, int timeoutMs)
    : m_client(client)
    , m_baseUrl(std::move(baseUrl))
    , m_timeoutMs(timeoutMs)
{
}

std::string PlatformStore::keyUrl(const std::string& key) const { return m_baseUrl + "/v1/kv/" + encoded(key); }

void PlatformStore::get(const std::string& key, std::function<void(store::Result<store::Entry>)> done)
{
    m_client.send(
        platformRequest("GET", keyUrl(key), m_timeoutMs), [done = std::move(done)](const http::ClientResult& result) {
            if (auto failure = failureOf(result)) {
                done(*failure);
                return;
            }
            const auto object = readObject(result.body);
            auto entry = object ? readEntry(*object) : std::nullopt;
            if (!entry) {
                done(error(Code::Unavailable, "entry with a missing or wrong field"));
                return;
            }
            done(std::move(*entry));
        });
}

void PlatformStore::put(const std::string& key, const std::string& value, store::Version expected,
    const std::string& operation, std::function<void(store::Result<store::Version>)> done)
{
    if (value.size() > largestStoredBytes) {
        // Not sent; the callback still comes from the event loop.
        QTimer::singleShot(0, &m_loop, [done = std::move(done)] { done(error(Code::TooLarge, "value above 1 MB")); });
        return;
    }
    const QJsonObject body { { "value", QString::fromStdString(value) }, { "expect", static_cast<qint64>(expected) },
        { "operation", QString::fromStdString(operation) } };
    m_client.send(platformRequest("PUT", keyUrl(key), body, m_timeoutMs),
        [done = std::move(done)](const http::ClientResult& result) { done(readVersion(result)); });
}

void PlatformStore::remove(const std::string& key, store::Version expected, const std::string& operation,
    std::function<void(store::Result<void>)> done)
{
    const std::string url = keyUrl(key) + "?expect=" + std::to_string(expected) + "&operation=" + encoded(operation);
    http::ClientRequest request = platformRequest("DELETE", url, m_timeoutMs);
    request.mode = http::SendMode::Once;
    m_client.send(request, [done = std::move(done)](const http::ClientResult& result) {
        if (auto failure = failureOf(result))
            done(*failure);
        else
            done(base::success());
    });
}

void PlatformStore::list(const std::string& prefix, std::function<void(store::Result<store::Listing>)> done)
{
    const std::string url = m_baseUrl + "/v1/list?prefix=" + encoded(prefix);
    m_client.send(platformRequest("GET", url, m_timeoutMs),
        [done = std::move(done)](const http::ClientResult& result) { done(readListing(result)); });
}

void PlatformStore::watch(const std::string& prefix, std::uint64_t after, base::Duration wait,
    std::function<void(store::Result<store::WatchAnswer>)> done)
{
    const std::int64_t waitMs = base::toMilliseconds(wait);
    const std::string url = m_baseUrl + "/v1/watch?prefix=" + encoded(prefix) + "&after=" + std::to_string(after)
        + "&wait=" + std::to_string(waitMs);
    const int timeoutMs = m_timeoutMs + static_cast<int>(waitMs);
    m_client.send(platformRequest("GET", url, timeoutMs),
        [done = std::move(done)](const http::ClientResult& result) { done(readWatch(result)); });
}

} // namespace lacewing::daemon
