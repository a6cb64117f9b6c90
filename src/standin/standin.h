// The stand-in as one object: store, instance list, workers, endpoints and the admin interface.
//
// Ports from basePort on: admin and instance list, store, workers, endpoints. Tests create it in their own process.
#pragma once

#include "standin/endpoint_service.h"
#include "standin/json_reader.h"
#include "standin/settings.h"
#include "standin/store_service.h"
#include "standin/worker_service.h"

#include <QHostAddress>
#include <QJsonObject>
#include <QTimer>
#include <deque>
#include <memory>
#include <set>

namespace lacewing::standin {

// A server that can go away and come back at the same port.
struct Listening {
    std::unique_ptr<http::Server> server; // null while away
    http::Handler handler;
    std::uint16_t port = 0;
};

class Standin : public QObject {
public:
    explicit Standin(StandinSettings settings);

    // Empty on success, otherwise what could not be listened on.
    std::string listen();
    std::uint16_t adminPort() const { return m_admin.port; }
    std::uint16_t storePort() const { return m_storeListening.port; }
    std::uint16_t workerPort(std::size_t index) const { return m_workerListening[index].port; }
    std::uint16_t endpointPort(std::size_t index) const { return m_endpoints[index]->port(); }

    // Applies a fault request; empty on success, otherwise the name of the wrong member.
    std::string applyFaults(const QJsonObject& faults);
    QJsonObject counts();

    StoreService store;
    TaskLedger ledger;
    std::vector<std::unique_ptr<WorkerService>> workers;

private:
    void handleAdmin(const http::Request& request, const http::Responder& responder);
    std::string open(Listening& listening, std::uint16_t port) const;
    void setAway(Listening& listening, bool isAway) const;
    std::string applyStoreFaults(JsonReader& reader);
    std::string applyWorkerFaults(JsonReader& reader);
    std::string applyEndpointFaults(JsonReader& reader);
    std::string applyInstanceFaults(JsonReader& reader);
    QJsonArray currentInstances() const;
    QJsonArray visibleInstances() const;
    void noteInstances();

    StandinSettings m_settings;
    std::vector<std::unique_ptr<EndpointService>> m_endpoints;
    std::vector<std::uint16_t> m_endpointPorts;
    Listening m_admin;
    Listening m_storeListening;
    std::vector<Listening> m_workerListening;

    // --- Instance list ---
    std::set<std::string> m_leaving;
    std::set<std::string> m_hidden; // live but not listed
    QJsonArray m_ghosts;            // listed but not there
    int m_lagMs = 0;
    std::deque<std::pair<base::TimePoint, QJsonArray>> m_history; // oldest first

    QTimer m_tick;
    base::TimePoint m_startedAt;
};

} // namespace lacewing::standin
