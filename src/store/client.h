// Store client interface: asynchronous calls to the platform's key-value store.
//
// Callbacks run on the caller's event loop, never inside the call itself, and exactly once for each call (a watch: once
// for each answer until it is stopped).
#pragma once

#include "base/names.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::store {

using Version = std::uint64_t; // of one key; 0: absent

struct Entry {
    std::string key;
    Version version = 0;
    std::string value;
    std::string operation; // identity of the write that made this version
};

struct Error {
    enum class Code {
        Conflict, // expected version differs; `version` and `operation` are the current ones
        NotFound,
        Unavailable, // no reply: the call may have taken effect
        NotSent,     // refused before sending (breaker open); it has not taken effect
        TooLarge,    // value above the store's limit; it has not taken effect
        Budget,      // over the call budget; it has not taken effect
        WatchExpired // `after` is too old: list again
    };
    Code code = Code::Unavailable;
    std::string detail;
    Version version = 0;   // Conflict only
    std::string operation; // Conflict only
};
constexpr base::EnumNames<Error::Code, 7> errorNames { {
    { Error::Code::Conflict, "conflict" },
    { Error::Code::NotFound, "notFound" },
    { Error::Code::Unavailable, "unavailable" },
    { Error::Code::NotSent, "notSent" },
    { Error::Code::TooLarge, "tooLarge" },
    { Error::Code::Budget, "budget" },
    { Error::Code::WatchExpired, "watchExpired" },
} };

template <typename T> using Result = base::Result<T, Error>;

struct WatchEvent {
    std::string key;
    Version version = 0;
    std::optional<std::string> value; // nullopt: removed
};

struct WatchAnswer {
    std::uint64_t revision = 0; // pass as `after` to the next watch
    std::vector<WatchEvent> events;
};

struct Listing {
    std::uint64_t revision = 0; // of the store at the listing, for a watch
    std::vector<Entry> entries;
};

class Client {
public:
    Client() = default;
    virtual ~Client() = default;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    virtual void get(const std::string& key, std::function<void(Result<Entry>)> done) = 0;
    // expected 0: the key must be absent. `operation` identifies the write and can be read back after a lost reply.
    virtual void put(const std::string& key, const std::string& value, Version expected, const std::string& operation,
        std::function<void(Result<Version>)> done)
        = 0;
    virtual void remove(
        const std::string& key, Version expected, const std::string& operation, std::function<void(Result<void>)> done)
        = 0;
    virtual void list(const std::string& prefix, std::function<void(Result<Listing>)> done) = 0;
    // One bounded long poll for changes after the revision.
    virtual void watch(const std::string& prefix, std::uint64_t after, base::Duration wait,
        std::function<void(Result<WatchAnswer>)> done)
        = 0;
};

} // namespace lacewing::store
