// The product's own configuration: the merged folder of operators' files, one revision at a time.
//
// A change is accepted by compare-and-swap on one key of the store, by whichever daemon the operator asks. The
// scheduling daemon follows that key and tells the others its revision with each answer; they read it when it is new.
// In force on this platform: data centres that are out, and the objectives of services.
#pragma once

#include "base/burn.h"
#include "config/revision.h"
#include "daemon/runtime.h"
#include "http/server.h"

#include <QObject>
#include <QTimer>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lacewing::daemon {

class ConfigurationService;

class PolicyService : public QObject {
public:
    explicit PolicyService(Runtime& runtime);

    void start();
    base::Revision revision() const { return m_holder.revision(); }
    // Another daemon has this revision in force.
    void learnRevision(base::Revision revision);
    // Revisions in force at all daemons that the scheduling daemon knows, by name.
    std::map<std::string, base::Revision>& memberRevisions() { return m_memberRevisions; }
    // Follows the store by itself while this daemon schedules.
    void setFollowing(bool isFollowing);
    // Objectives of every service of the platform, by the names of the services.
    std::vector<base::Objective> objectives() const;
    std::optional<base::Duration> latencyObjective(const std::string& service) const;

    // --- Operators' interface ---
    http::Response show() const;
    void showHistory(const http::Responder& responder) const;
    void apply(const QByteArray& body, const http::Responder& responder);

private:
    config::ServiceObjectives objectivesOf(const std::string& service) const;
    void read();
    void watch();
    void adopt(const platform::Item& item);
    void propose(const config::Proposal& proposal, const http::Responder& responder, int attempt);
    void write(const config::Accepted& accepted, const platform::Item& base, const config::Proposal& proposal,
        const http::Responder& responder, int attempt);

    Runtime& m_runtime;
    ConfigurationService* m_configuration = nullptr;
    config::ActiveConfig m_holder;
    std::map<std::string, base::Revision> m_memberRevisions;
    bool m_isReading = false;
    bool m_isFollowing = false;
    bool m_isWatching = false;
    std::int64_t m_storeRevision = 0; // of the store, up to which changes were seen
};

void registerPolicyService(Runtime& runtime);

} // namespace lacewing::daemon
