// Stand-ins of the platform's store and of executors, after PROTOCOL.md, and the record of what executors have run.
#pragma once

#include "http.h"

#include <QFile>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewing::review {

// Appends one line with the time to record.txt.
class Record {
public:
    explicit Record(const QString& path);
    void line(const QString& text);

private:
    QFile m_file;
};

// --- Store ---

class Store {
public:
    Store();
    bool listen(std::uint16_t port) { return m_server.listen(port); }
    void put(const std::string& key, const QJsonObject& value);
    void remove(const std::string& key);

private:
    struct Item {
        QByteArray value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };
    struct Event {
        std::string key;
        std::int64_t revision = 0;
        bool isDeleted = false;
        Item item;
    };
    struct Watch {
        std::string prefix;
        std::int64_t after = 0;
        Responder responder;
        bool isAnswered = false;
    };

    void handle(const Request& request, const Responder& responder);
    void transact(const Request& request, const Responder& responder);
    QJsonObject range(const Request& request) const;
    QJsonObject eventsFor(const Watch& watch) const;
    void write(const std::string& key, const QByteArray& value);
    void erase(const std::string& key);
    void notifyWatches();
    static QJsonObject toJson(const std::string& key, const Item& item);

    Server m_server;
    std::int64_t m_revision = 1;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::vector<std::shared_ptr<Watch>> m_watches;
};

// --- Runs ---

// A run of a task on one life of an executor.
struct Run {
    std::string task;
    std::int64_t number = 0;
    std::string worker;
    int life = 0;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = -1;
    std::string how;             // empty: at work; "lost": with its executor
    std::int64_t endNumber = 0;  // in `finished`
    std::int64_t notedAt = -1;   // when `seen_seq` reached the end
    bool hasLapsedSince = false; // the executor's lease lapsed after the end, before it was taken note of
};

// Rule TWICE for tasks of steps without `speculative`: descriptions of each breach.
std::vector<QString> findRepeatedRuns(const std::deque<Run>& runs);

// --- Advice ---

// Decides which executors may run a step: those that isAllowed names. One call at a time.
class Advice {
public:
    Advice(Record& record, std::function<bool(const std::string& worker)> isAllowed);
    bool listen(std::uint16_t port) { return m_server.listen(port); }
    bool isValid(const std::string& step, const std::string& worker, const std::string& ticket) const;

    static constexpr int decisionMs = 100;
    static constexpr int perItemMs = 5;
    static constexpr int validMs = 3000;

private:
    void handle(const Request& request, const Responder& responder);

    Record& m_record;
    std::function<bool(const std::string&)> m_isAllowed;
    Server m_server;
    std::int64_t m_freeAt = 0;
    std::map<std::string, std::int64_t> m_tickets; // valid until, by step, worker and ticket
};

// --- Executors ---

struct WorkerSettings {
    std::string id;
    std::string backend;
    std::string zone;
    std::string rack;
    std::uint16_t port = 0;
    int cpu = 16000;
    int memoryMb = 64000;
};

class Worker {
public:
    Worker(WorkerSettings settings, Store& store, Record& record, std::deque<Run>& runs);
    bool start();
    // The machine is without power for that time, and starts again under the same id.
    void losePower(std::int64_t downMs);
    // Every run that it starts from now on fails after a moment.
    void failAllRuns(bool isFailing) { m_isFailing = isFailing; }
    // Starts of jobs that ask for tickets are checked.
    void useAdvice(const Advice& advice) { m_advice = &advice; }
    const WorkerSettings& settings() const { return m_settings; }

private:
    struct Active {
        std::size_t run = 0;      // in m_runs
        std::int64_t endsAt = 0;  // on the executor's clock; 0: lasts
        std::int64_t failsAt = 0; // 0: it does not
        int members = 0;          // of the gang; 0: no gang
        int runMs = 0;
        int cpu = 0;
        int memoryMb = 0;
    };
    struct Hold {
        Responder responder;
        std::int64_t deadline = 0;
        bool isAnswered = false;
    };

    std::int64_t clockMs() const { return nowMs() - m_bornAt; }
    void beginLife();
    void announce();
    void tick();
    void tickGang(const std::string& task, const Active& active);
    void end(const std::string& task, const std::string& how);
    void extendLease(std::int64_t expiresMs);
    QJsonObject report() const;
    void handle(const Request& request, const Responder& responder);
    void runStart(const QJsonObject& body, const Responder& responder);
    void runStop(const QJsonObject& body, const Responder& responder);
    void hold(const QJsonObject& body, const Responder& responder);

    WorkerSettings m_settings;
    Store& m_store;
    Record& m_record;
    std::deque<Run>& m_runs;
    Server m_server;
    int m_life = 0;
    std::int64_t m_bornAt = 0;
    std::int64_t m_bornUnixMs = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnds = 0; // on the executor's clock
    bool m_hasLease = false;
    bool m_isFailing = false;
    const Advice* m_advice = nullptr;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_sequence = 0;
    std::map<std::string, Active> m_active;
    std::map<std::string, std::int64_t> m_highestClosed; // run that ended or was stopped
    std::deque<std::size_t> m_finished;                  // in m_runs
    std::vector<std::shared_ptr<Hold>> m_holds;
};

} // namespace lacewing::review
