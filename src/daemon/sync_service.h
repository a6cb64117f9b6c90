// Messages between daemons: every follower polls the scheduling daemon for changes several times a second.
//
// Replies carry the changed states of jobs. By sending a request a follower acknowledges the reply before it, and
// thereby commits itself not to take the term over while replies arrive (see election/election.h). A reply can also
// hand the term over to a daemon that reaches the store.
#pragma once

#include "daemon/member_list.h"
#include "daemon/runtime.h"
#include "peer/peer.h"

#include <QJsonObject>
#include <QObject>
#include <QTimer>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lacewing::daemon {

class DispatcherService;
class PolicyService;
class TermService;
struct JobTable;

class SyncService : public QObject {
public:
    explicit SyncService(Runtime& runtime);

    // Empty when started; otherwise the cause.
    std::string start();
    void stop();
    // False while other daemons still have to be notified that this one has resigned.
    bool isIdle() const;

private:
    struct SentRequest {
        scheduler::Millis sentAt = 0;
        std::string leader;           // receiver
        std::int64_t incarnation = 0; // of the receiver's process
        std::int64_t revision = 0;    // of the term record as known then; a reply says nothing of a later take-over
        std::int64_t lastCancel = 0;  // number of the last stored cancel in it
    };

    struct SentReply {
        std::int64_t number = 0; // which the follower's next request acknowledges
        scheduler::Millis sentAt = 0;
        std::int64_t token = 0;           // of the term that sent it
        scheduler::Millis workSentAt = 0; // last reply with the accepted work
    };

    void tick();
    void sendRequest();
    void dropClient();
    void applyReply(const QJsonObject& reply, const SentRequest& sent);
    void probeStore();
    QByteArray handleRequest(const QByteArray& request);
    void updateMembers(const std::string& daemon, const QJsonObject& request, scheduler::Millis now);
    void updatePending(scheduler::Millis now);
    int followerPeriodMs() const;
    // The next part of the feed for a follower; adds its position to the reply.
    QByteArray encodeNewChanges(QJsonObject& reply, const QJsonObject& request) const;

    Runtime& m_runtime;
    TermService* m_term = nullptr;
    DispatcherService* m_dispatcher = nullptr;
    PolicyService* m_policy = nullptr;
    JobTable* m_table = nullptr;
    std::unique_ptr<peer::Server> m_server;
    QTimer m_timer;

    // --- As a follower ---
    std::unique_ptr<peer::Client> m_client;
    std::string m_clientAddress;
    int m_failures = 0;
    bool m_isRequestInFlight = false;
    std::int64_t m_lastReplyNumber = 0; // of the last reply received
    std::int64_t m_feedTerm = 0;
    std::int64_t m_feedPosition = 0;
    std::int64_t m_feedRevision = 0; // all job states stored up to it are known
    MemberCopy m_memberCopy;         // of the leader's list
    bool m_hasContact = false;
    scheduler::Millis m_probedAt = 0;

    // --- As the scheduling daemon ---
    std::int64_t m_replyCount = 0;
    std::map<std::string, SentReply> m_sentReplies; // last reply by daemon
    scheduler::Millis m_workLimitSentAt = 0;        // last request with this daemon's limit of accepted work
    std::set<std::string> m_notifiedOfResignation;  // names of daemons
    MemberList m_memberList;
    QByteArray m_pendingJson; // numbers of waiting jobs by queue, encoded as a member of the reply
    std::int64_t m_pendingTerm = 0;
    scheduler::Millis m_pendingCountedAt = 0;
};

void registerSyncService(Runtime& runtime);

} // namespace lacewing::daemon
