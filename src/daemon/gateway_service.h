// Job requests of callers: hand in, ask for the state, cancel, count the waiting ones.
//
// Any daemon accepts. A job is accepted when its record is in the store, written by this daemon on the condition that
// there is none, so that a repeated request stays one job. Only a request of which it is certain that nothing was
// written is refused with 503; one that may have been written is answered with 504, after which callers ask again.
#pragma once

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

// Identity of a job in the store: 16 hexadecimal digits. Any other one that an operator chose is hashed to that form.
std::string jobIdOf(const std::string& identity);

class GatewayService : public QObject {
public:
    explicit GatewayService(Runtime& runtime);

    std::string start();
    void beginStop();
    bool isIdle() const;
    void stop() { m_server.reset(); }
    // Also for operators.
    void cancelJob(const std::string& id, const http::Responder& responder);
    // Hands in a job of one task that an operator describes; the answer names its identity.
    void submitForOperator(const QByteArray& body, const http::Responder& responder);

private:
    struct Submission {
        std::string id;
        QByteArray record;
        QByteArray answer; // body of the acceptance
        base::SloKey sloKey;
        http::Responder responder;
        scheduler::Millis receivedAt = 0;
        scheduler::Millis deadline = 0;
        bool isUncertain = false; // an attempt without an answer: the record may be there, or may still come
    };

    void handle(const http::Request& request, const http::Responder& responder);
    void submit(const scheduler::Queue& queue, const std::string& id, const http::Request& request,
        const http::Responder& responder);
    void enqueue(const scheduler::Queue& queue, scheduler::JobRequest job, Submission submission);
    // Counts an answered or refused job request for the objectives of its service.
    void recordSlo(const Submission& submission, base::RequestResult result);
    void storeSubmissions();
    void applyStored(std::vector<Submission> batch, const base::Result<std::int64_t, platform::StoreError>& result);
    void accept(const Submission& submission, const char* how);
    void giveUp(const Submission& submission, const std::string& reason);
    void answerState(const std::string& id, const http::Responder& responder);
    void findJob(
        const std::string& id, const http::Responder& responder, const char* operation, std::function<void()> found);
    void readProgress(const std::string& id, const http::Responder& responder);
    void storeCancel(const std::string& id, const http::Responder& responder);
    void answerPending(const scheduler::Queue& queue, const http::Responder& responder);
    void respond(const http::Responder& responder, const http::Response& response, const char* operation,
        const std::string& id, const std::string& outcome);

    Runtime& m_runtime;
    ConfigurationService* m_configuration = nullptr;
    JobTable* m_table = nullptr;
    std::unique_ptr<http::Server> m_server;
    std::deque<Submission> m_submissions; // waiting for the store
    bool m_isStoring = false;
    QTimer m_retry;
};

void registerGatewayService(Runtime& runtime);

} // namespace lacewing::daemon
