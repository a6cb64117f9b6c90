// HTTP interface of the store model, with faults.
#pragma once

#include "http/server.h"
#include "standin/store_model.h"

#include <QObject>
#include <list>
#include <map>
#include <string>

namespace lacewing::standin {

struct StoreFaults {
    int delayMs = 0;      // reply time; writes take effect at once
    int loseReplies = 0;  // next writes that take effect and get no answer
    bool refuses = false; // 503 with `executed: no`
};

class StoreService : public QObject {
public:
    void handle(const http::Request& request, const http::Responder& responder);
    void tick(base::TimePoint now);
    // Tells all waiting watches to list again.
    void breakWatches();

    StoreModel model;
    StoreFaults faults;
    std::map<std::string, std::uint64_t> calls; // by kind: get, put, delete, list, watch, lease, renew

private:
    struct Watch {
        std::uint64_t id = 0;
        http::Responder responder;
        std::string prefix;
        std::uint64_t after = 0;
    };

    void answer(const http::Responder& responder, const http::Response& response);
    void answerWrite(const http::Responder& responder, const WriteResult& result);
    void handleKey(const http::Request& request, const http::Responder& responder, const std::string& key);
    void handlePut(const http::Request& request, const http::Responder& responder, const std::string& key);
    void handleWatch(const http::Request& request, const http::Responder& responder);
    void handleLease(const http::Request& request, const http::Responder& responder);
    // False when the watch has nothing to report yet.
    bool answerWatch(const Watch& watch, bool isDue);
    void wakeWatches();

    std::list<Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::map<std::uint64_t, http::Responder> m_lost; // never answered; kept until the caller leaves
    std::uint64_t m_lastLost = 0;
};

} // namespace lacewing::standin
