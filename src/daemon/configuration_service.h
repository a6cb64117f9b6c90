// Service `configuration`: holds the accepted configuration, keeps it current, accepts changes of operators.
//
// - The representative of the data centre watches `config/current`; the others receive it by configPush and read the
//   store only when their evidence of freshness is about to run out.
// - A received revision is relayed to the other daemons of the data centre before it is put in force here.
// - A change is accepted by compare-and-swap only. After a lost reply the value is read back; until the result is
//   known, this daemon reports an unresolved apply, which denies the agreement of docs/design.md, Q8, to the others.
#pragma once

#include "cluster/freshness.h"
#include "codec/message.h"
#include "config/policy.h"
#include "config/revision.h"
#include "daemon/runtime.h"
#include "http/server.h"
#include "store/client.h"

#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lacewing::daemon {

class MembershipService;
class StoreService;

class ConfigurationService {
public:
    explicit ConfigurationService(Runtime& runtime);

    void start();
    void stop();

    // --- State ---
    const config::Holder& holder() const { return m_holder; }
    bool isReady() const { return m_holder.isReady(); }
    cluster::Freshness& freshness() { return m_freshness; }
    const cluster::Freshness& freshness() const { return m_freshness; }
    // Called after each change of the configuration in force.
    void onChanged(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

    // --- Messages of other daemons ---
    void onPush(const codec::ConfigPush& push);
    codec::ConfigPullReply onPull(const codec::ConfigPull& pull) const;
    // Another daemon stated that it holds this revision; a higher one than held is pulled from it.
    void onPeerRevision(const base::DaemonId& daemon, base::Revision revision);

    // --- HTTP ---
    void handleShow(const http::Responder& responder) const;
    void handleHistory(const http::Responder& responder);
    void handleApply(const http::Request& request, const http::Responder& responder);

private:
    struct Apply;

    void readNow();
    void watchNow();
    void scheduleNext(base::Duration delay);
    void step();
    void onStored(const std::string& value, base::TimePoint sentAt);
    void offer(const config::Stored& stored, config::Holder::Source source);
    void putInForce(const config::Stored& stored, config::Holder::Source source);
    void pullFrom(const base::DaemonId& daemon);

    void readForApply(const std::shared_ptr<Apply>& apply);
    void decideApply(const std::shared_ptr<Apply>& apply, const config::Stored& current, std::uint64_t version);
    void writeForApply(const std::shared_ptr<Apply>& apply, std::uint64_t version);
    void repeatWrite(const std::shared_ptr<Apply>& apply);
    void onApplyWritten(const std::shared_ptr<Apply>& apply, const store::Result<store::Version>& result);
    void settleApply();
    void resolveApply(const std::shared_ptr<Apply>& apply);
    void finishApply(const std::shared_ptr<Apply>& apply, const http::Response& response);
    void writeHistory(const config::HistoryEntry& entry);

    Runtime& m_runtime;
    StoreService* m_store = nullptr;
    MembershipService* m_membership = nullptr;
    config::Holder m_holder;
    cluster::Freshness m_freshness;
    std::vector<std::function<void()>> m_listeners;
    QTimer m_timer;
    bool m_isReading = false;                  // one read or watch at a time
    std::optional<std::uint64_t> m_watchAfter; // store revision for the next watch
    std::optional<base::TimePoint> m_lastRead; // when the last answered read was sent
    int m_unresolvedApplies = 0;
    std::uint64_t m_nextOperation = 1;
};

void registerConfigurationService(Runtime& runtime);

} // namespace lacewing::daemon
