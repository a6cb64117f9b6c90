// Messages between daemons: every daemon asks the scheduling one, several times a second, what has changed.
//
// A message carries the states of jobs one way and, the other way, the promise not to take the term over while the
// answers come (see election/election.h). It also carries the hand-over of the term to a daemon that reaches the store.
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
    // False while daemons still have to be told that this one has resigned.
    bool isIdle() const;

private:
    // The leader's process that a message was sent to.
    struct SentRequest {
        scheduler::Millis sentAt = 0;
        std::string leader;
        std::int64_t incarnation = 0;
    };

    struct SentReply {
        std::int64_t number = 0;
        scheduler::Millis sentAt = 0;
    };

    void tick();
    void sendRequest();
    void applyReply(const QJsonObject& reply, const SentRequest& sent);
    void probeStore();
    QByteArray handleRequest(const QByteArray& request);
    void updateMembers(const std::string& daemon, const QJsonObject& request, scheduler::Millis now);
    void updatePending(scheduler::Millis now);
    // The changes that a daemon with this position in the feed of a term lacks; adds its next position to the reply.
    QByteArray encodeNewChanges(QJsonObject& reply, std::int64_t feedTerm, std::int64_t feedPosition) const;

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
    std::int64_t m_lastReplyNumber = 0; // number of the last answer received
    std::int64_t m_feedTerm = 0;
    std::int64_t m_feedPosition = 0;
    MemberCopy m_memberCopy; // of the leader's list
    bool m_hasContact = false;
    scheduler::Millis m_probedAt = 0;

    // --- As the scheduling daemon ---
    std::int64_t m_replyCount = 0;
    std::map<std::string, SentReply> m_sentReplies; // last answer by daemon
    std::set<std::string> m_notifiedOfResignation;  // daemons that have been sent the resignation
    MemberList m_memberList;
    QByteArray m_pendingJson; // numbers of waiting jobs by queue, as a member of the answer
    std::int64_t m_pendingTerm = 0;
    scheduler::Millis m_pendingCountedAt = 0;
};

void registerSyncService(Runtime& runtime);

} // namespace lacewing::daemon
