// Job requests of callers: submit, read the state, cancel, count the waiting jobs.
//
// Any daemon accepts jobs. A job is accepted once its record is in the store. The record is written on the condition
// that none exists, which makes submission idempotent. 503 is sent only when nothing was written; 504 when the record
// may have been written, after which the caller repeats the request with the same id. A cancel that was answered, with
// 410 too, is final: no later write accepts the job.
//
// Where the configuration has client accounts, requests on queues that are not public are admitted by their key
// (access.h) before anything else about the queue or a job is told.
#pragma once

#include "daemon/access.h"
#include "daemon/cancellation.h"
#include "daemon/runtime.h"
#include "http/server.h"

#include <QObject>
#include <QTimer>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lacewing::daemon {

class ConfigurationService;
struct JobTable;

// Id of a job in the store: 16 hexadecimal digits. An identity in any other form, chosen by an operator, is hashed.
std::string jobIdOf(const std::string& identity);

class GatewayService : public QObject {
public:
    explicit GatewayService(Runtime& runtime);

    std::string start();
    void beginStop();
    bool isIdle() const;
    void stop() { m_server.reset(); }
    const http::Server* server() const { return m_server.get(); }
    // For the operators' interface, which may cancel the jobs of all accounts.
    void cancelJob(const std::string& id, const http::Responder& responder);
    // Submits a job of one task described by an operator; the response contains its id.
    void submitForOperator(const QByteArray& body, const http::Responder& responder);
    const AccountRefusals& refusals() const { return m_refusals; }

private:
    // Who waits for a response.
    struct Caller {
        http::Responder responder;
        std::string account; // of its key; empty: none
        bool isOperator = false;
    };

    void enqueueForOperator(const QJsonObject& json, const http::Responder& responder);

    struct Submission {
        std::string id;
        QByteArray record;
        QByteArray responseBody; // body of the acceptance
        base::SloKey sloKey;
        Caller caller;
        scheduler::Millis receivedAt = 0;
        scheduler::Millis deadline = 0;
        std::int64_t workBytes = 0; // that the budget for accepted work counts; 0: none
        bool isUncertain = false;   // a write had no answer: it may have been or may yet be applied
    };

    struct WorkRefusal {
        WorkVerdict verdict = WorkVerdict::Full;
        std::int64_t bytes = 0; // of the job
        int priority = 0;
    };

    // `isRepeated`: the configuration has been confirmed once and was too old again when the store had answered.
    void handle(const http::Request& request, const http::Responder& responder, bool isRepeated = false);
    // `isCurrent`: the configuration is new enough to refuse a request by it or to accept a job.
    void route(const http::Request& request, const http::Responder& responder, bool isCurrent);
    void refuseAccess(const Access& access, const std::string& id, const Caller& caller);
    void refuseOutdated(const char* operation, const std::string& id, const Caller& caller);
    // 410 as for an unknown job, or 409 for a submission.
    void refuseOtherAccount(const char* operation, const std::string& id, const Caller& caller);
    static bool mayUse(const Caller& caller, const std::string& jobAccount);
    void submit(
        const scheduler::Queue& queue, const std::string& id, const http::Request& request, const Caller& caller);
    void cancelJob(const std::string& id, const Caller& caller);
    void enqueue(const scheduler::Queue& queue, scheduler::JobRequest job, Submission submission);
    // Refuses a job for which the accepted ones leave no memory, unless it is one of them.
    void refuseForWork(const WorkRefusal& refused, Submission submission);
    void respondWithWorkRefusal(const WorkRefusal& refused, const Submission& submission, bool isKnownAbsent);
    void finishSubmission(const Submission& submission, bool isAccepted);
    // Counts an answered or failed job request against the service-level objectives of its service.
    void recordSlo(const Submission& submission, base::RequestResult result);
    void storeSubmissions();
    void applyCommitResult(
        std::vector<Submission> batch, const base::Result<std::int64_t, platform::StoreError>& result);
    // `account`: that the record names.
    void accept(const Submission& submission, const char* outcome, const std::string& account,
        scheduler::JobState state = scheduler::JobState::Queued);
    void refuseCancelled(const Submission& submission, const std::string& account);
    void refuseOtherJob(const Submission& submission);
    void failSubmission(const Submission& submission, const std::string& reason);
    void respondWithState(const std::string& id, const Caller& caller);
    void readAccepted(const std::string& id, const Caller& caller);
    void storeCancelOfUnknown(const std::string& id, const Caller& caller);
    void refuseCancel(const std::string& id, const Caller& caller, const platform::StoreError& error);
    void readProgress(const std::string& id, const Caller& caller);
    void storeCancel(const std::string& id, const Caller& caller);
    void respondWithPending(const scheduler::Queue& queue, const Caller& caller);
    void countAccountRefusal(const std::string& account, RefusalCause cause);
    // Without a cause, that of the status is counted.
    void respond(const Caller& caller, const http::Response& response, const char* operation, const std::string& id,
        const std::string& outcome, RefusalCause cause = RefusalCause::None);

    Runtime& m_runtime;
    ConfigurationService* m_configuration = nullptr;
    JobTable* m_table = nullptr;
    std::unique_ptr<http::Server> m_server;
    std::deque<Submission> m_submissions; // waiting for their commit
    bool m_isStoring = false;
    QTimer m_retryTimer;
    UnknownCancels m_unknownCancels;
    AccountRefusals m_refusals;
};

void registerGatewayService(Runtime& runtime);

} // namespace lacewing::daemon
