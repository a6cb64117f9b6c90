// Client of the platform's store (design section 4) as a store::Client.
//
// A call without a usable answer ends with Unavailable: it may have taken effect. Only a call whose bytes were
// certainly not sent ends with NotSent.
#pragma once

#include "store/client.h"

#include <QObject>
#include <string>

namespace lacewing::http {
class Client;
struct ClientResult;
}

namespace lacewing::daemon {

class PlatformStore : public store::Client {
public:
    // baseUrl: "http://ADDRESS:PORT". The client must outlive this object and all callbacks.
    PlatformStore(http::Client& client, std::string baseUrl, int timeoutMs = 2000);

    void get(const std::string& key, std::function<void(store::Result<store::Entry>)> done) override;
    void put(const std::string& key, const std::string& value, store::Version expected, const std::string& operation,
        std::function<void(store::Result<store::Version>)> done) override;
    void remove(const std::string& key, store::Version expected, const std::string& operation,
        std::function<void(store::Result<void>)> done) override;
    void list(const std::string& prefix, std::function<void(store::Result<store::Listing>)> done) override;
    void watch(const std::string& prefix, std::uint64_t after, base::Duration wait,
        std::function<void(store::Result<store::WatchAnswer>)> done) override;

private:
    std::string keyUrl(const std::string& key) const;

    http::Client& m_client;
    std::string m_baseUrl;
    int m_timeoutMs;
    QObject m_loop; // delays refusals to the event loop
};

} // namespace lacewing::daemon
