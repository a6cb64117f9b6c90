// Job requests of callers: submit, read the state, cancel, count the waiting jobs.
//
// Any daemon accepts jobs. A job is accepted once its record is in the store. The record is written on the condition
// that none exists, which makes submission idempotent. 503 is sent only when nothing was written; 504 when the record
// may have been written, after which the caller repeats the request with the same id. A cancel that was answered, with
// 410 too, is final: no later write accepts the job.
#pragma once

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
    // Serves callers and the operators' interface.
    void cancelJob(const std::string& id, const http::Responder& responder);
    // Submits a job of one task described by an operator; the response contains its id.
    void submitForOperator(const QByteArray& body, const http::Responder& responder);

private:
    void enqueueForOperator(const QJsonObject& json, const http::Responder& responder);

    struct Submission {
        std::string id;
        QByteArray record;
        QByteArray responseBody; // body of the acceptance
        base::SloKey sloKey;
        http::Responder responder;
        scheduler::Millis receivedAt = 0;
        scheduler::Millis deadline = 0;
        bool isUncertain = false; // a write had no answer: it may have been or may yet be applied
    };

    void handle(const http::Request& request, const http::Responder& responder);
    // `isCurrent`: the configuration is new enough to refuse a request by it or to accept a job.
    void route(const http::Request& request, const http::Responder& responder, bool isCurrent);
    void refuseOutdated(const char* operation, const std::string& id, const http::Responder& responder);
    void submit(const scheduler::Queue& queue, const std::string& id, const http::Request& request,
        const http::Responder& responder);
    void enqueue(const scheduler::Queue& queue, scheduler::JobRequest job, Submission submission);
    // Counts an answered or failed job request against the service-level objectives of its service.
    void recordSlo(const Submission& submission, base::RequestResult result);
    void storeSubmissions();
    void applyCommitResult(
        std::vector<Submission> batch, const base::Result<std::int64_t, platform::StoreError>& result);
    void accept(
        const Submission& submission, const char* outcome, scheduler::JobState state = scheduler::JobState::Queued);
    void refuseCancelled(const Submission& submission);
    void failSubmission(const Submission& submission, const std::string& reason);
    void respondWithState(const std::string& id, const http::Responder& responder);
    void readAccepted(const std::string& id, const http::Responder& responder);
    void storeCancelOfUnknown(const std::string& id, const http::Responder& responder);
    void refuseCancel(const std::string& id, const http::Responder& responder, const platform::StoreError& error);
    void readProgress(const std::string& id, const http::Responder& responder);
    void storeCancel(const std::string& id, const http::Responder& responder);
    void respondWithPending(const scheduler::Queue& queue, const http::Responder& responder);
    void respond(const http::Responder& responder, const http::Response& response, const char* operation,
        const std::string& id, const std::string& outcome);

    Runtime& m_runtime;
    ConfigurationService* m_configuration = nullptr;
    JobTable* m_table = nullptr;
    std::unique_ptr<http::Server> m_server;
    std::deque<Submission> m_submissions; // waiting for their commit
    bool m_isStoring = false;
    QTimer m_retryTimer;
    UnknownCancels m_unknownCancels;
};

void registerGatewayService(Runtime& runtime);

} // namespace lacewing::daemon
