// The policy: the project's own configuration, merged from the operators' files and stored as numbered revisions.
//
// Any daemon accepts a change, by compare-and-swap on one key of the store. The scheduling daemon watches that key and
// sends the revisions in force to the other daemons with each reply; a daemon reads the key when it lacks the newest
// one. Two parts of a policy take effect: withdrawn data centres and the service-level objectives of services.
#pragma once

#include "base/burn.h"
#include "config/revision.h"
#include "daemon/runtime.h"
#include "daemon/store_watch.h"
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
    // Reads the store when the revision, in force at another daemon, is newer than this daemon's.
    void observePeerRevision(base::Revision revision);
    // Revisions in force at the daemons that the scheduling daemon knows, by name of the daemon.
    std::map<std::string, base::Revision>& memberRevisions() { return m_memberRevisions; }
    // The scheduling daemon watches the store; the others read it when they are told of a new revision.
    void setWatchEnabled(bool isEnabled);
    // Objectives of every service in the platform's configuration.
    std::vector<base::Objective> objectives() const;
    std::optional<base::Duration> latencyObjective(const std::string& service) const;

    // --- Operators' interface ---
    http::Response show() const;
    void showHistory(const http::Responder& responder) const;
    void apply(const QByteArray& body, const http::Responder& responder);

private:
    config::ServiceObjectives objectivesOf(const std::string& service) const;
    void read();
    void adopt(const platform::Item& item);
    void propose(const config::Proposal& proposal, const http::Responder& responder, int attempt);
    void write(const config::Accepted& accepted, const platform::Item& base, const config::Proposal& proposal,
        const http::Responder& responder, int attempt);

    Runtime& m_runtime;
    ConfigurationService* m_configuration = nullptr;
    config::ActiveConfig m_holder;
    std::map<std::string, base::Revision> m_memberRevisions;
    bool m_isReading = false;
    std::unique_ptr<StoreWatch> m_watch; // only while enabled
};

void registerPolicyService(Runtime& runtime);

} // namespace lacewing::daemon
