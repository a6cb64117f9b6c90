// Fixtures for tests of lacewingctl: fake daemons behind a scripted transport that follow the configuration rules of
// src/config, a virtual clock, and temporary folders.
#pragma once

#include "config/revision.h"
#include "ctl/program.h"

#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTemporaryDir>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace lacewing::test {

struct FakeDaemons {
    // --- Script ---
    std::map<std::string, ctl::Reply::Kind> faults; // by address; a daemon without an entry answers
    int lostReplies = 0;                            // number of accepted proposals to come whose replies are lost
    int unavailableReplies = 0; // number of calls to come that are answered with 503 and "executed": "no"
    std::function<ctl::Reply(const ctl::Call&)> handleOther; // answers all paths outside /v1/config; empty: 404

    // --- State ---
    config::StoredConfig stored;
    std::vector<config::HistoryEntry> history;
    std::vector<std::string> callLog; // "ADDRESS METHOD PATH"
    std::int64_t nowMs = 0;

    static ctl::Reply json(int status, const QJsonObject& object)
    {
        return { ctl::Reply::Kind::Answered, status, QJsonDocument(object).toJson(), {} };
    }

    // Puts `files` in force as a change by another operator.
    void changeBy(const std::string& author, const config::Files& files)
    {
        const config::Proposal proposal { stored.revision, author, "by " + author,
            author + std::to_string(stored.revision), files };
        const auto decision = config::decide(stored, proposal, 1'700'000'000'000);
        CPPUNIT_ASSERT(std::holds_alternative<config::Accepted>(decision));
        putInForce(std::get<config::Accepted>(decision).next);
    }

    ctl::Reply handle(const std::string& address, const ctl::Call& call)
    {
        callLog.push_back(address + " " + call.method.toStdString() + " " + call.path.toStdString());
        nowMs += 10;
        if (faults.contains(address))
            return { faults[address], 0, {}, "scripted" };
        if (unavailableReplies > 0) {
            --unavailableReplies;
            return json(503, { { "code", "storeUnavailable" }, { "detail", "no store" }, { "executed", "no" } });
        }
        if (call.path == "/v1/config/history")
            return historyReply();
        if (call.path == "/v1/config")
            return call.method == "POST" ? applyReply(call) : configReply();
        return handleOther ? handleOther(call) : json(404, { { "detail", "unknown path" } });
    }

    int count(const std::string& text) const
    {
        int found = 0;
        for (const std::string& entry : callLog)
            found += entry.find(text) != std::string::npos ? 1 : 0;
        return found;
    }

private:
    void putInForce(const config::StoredConfig& next)
    {
        history.insert(history.begin(), config::historyEntry(stored, next));
        stored = next;
    }

    ctl::Reply configReply() const
    {
        return { ctl::Reply::Kind::Answered, 200, QByteArray::fromStdString(config::encode(stored).value()), {} };
    }

    ctl::Reply historyReply() const
    {
        QJsonArray entries;
        for (const config::HistoryEntry& entry : history)
            entries.append(QJsonDocument::fromJson(QByteArray::fromStdString(config::encode(entry))).object());
        return json(200, { { "entries", entries } });
    }

    ctl::Reply applyReply(const ctl::Call& call)
    {
        const QJsonObject body = QJsonDocument::fromJson(call.body).object();
        config::Proposal proposal { static_cast<base::Revision>(body["expectRevision"].toInteger()),
            body["author"].toString().toStdString(), body["comment"].toString().toStdString(),
            body["operation"].toString().toStdString(), {} };
        const QJsonObject files = body["files"].toObject();
        for (auto entry = files.begin(); entry != files.end(); ++entry)
            proposal.files[entry.key().toStdString()] = entry.value().toString().toStdString();
        const auto decision = config::decide(stored, proposal, 1'700'000'000'000);
        if (const auto* conflict = std::get_if<config::Conflict>(&decision)) {
            return json(409,
                { { "code", "conflict" }, { "detail", QString::fromStdString(config::describe(*conflict)) },
                    { "currentRevision", static_cast<qint64>(conflict->current) } });
        }
        if (std::holds_alternative<config::Refused>(decision))
            return json(422, { { "code", "invalidConfiguration" }, { "detail", "refused" } });
        const auto& accepted = std::get<config::Accepted>(decision);
        if (accepted.outcome == config::Accepted::Outcome::New)
            putInForce(accepted.next);
        if (lostReplies > 0) {
            --lostReplies;
            return { ctl::Reply::Kind::Unknown, 0, {}, "reply lost" };
        }
        const std::string outcome(config::nameOf(accepted.outcome));
        return json(200,
            { { "revision", static_cast<qint64>(accepted.revision) }, { "outcome", QString::fromStdString(outcome) } });
    }
};

// Result of one run of the program.
struct Run {
    ctl::ExitCode code = ctl::ExitCode::Ok;
    std::string out;
    std::string err;

    const QJsonObject json() const { return QJsonDocument::fromJson(QByteArray::fromStdString(out)).object(); }
    bool has(const std::string& text) const { return (out + err).find(text) != std::string::npos; }
};

struct Terminal {
    bool isTerminal = false;
    bool hasColor = false;
    std::string input;
};

inline Run run(FakeDaemons& daemons, const std::vector<std::string>& arguments, const Terminal& terminal = {})
{
    std::ostringstream out;
    std::ostringstream err;
    std::istringstream in(terminal.input);
    int identities = 0;
    ctl::Environment environment { out, err, in };
    environment.isTerminal = terminal.isTerminal;
    environment.hasColor = terminal.hasColor;
    environment.user = "ana";
    environment.daemons = "a:1";
    environment.transport
        = [&](const std::string& address, const ctl::Call& call, int) { return daemons.handle(address, call); };
    environment.sleepMs = [&](int milliseconds) { daemons.nowMs += milliseconds; };
    environment.nowMs = [&] { return daemons.nowMs; };
    environment.generateId = [&] { return "id-" + std::to_string(daemons.nowMs) + "-" + std::to_string(++identities); };
    const ctl::ExitCode code = ctl::runProgram(arguments, environment, "1.2.3");
    return { code, out.str(), err.str() };
}

// A temporary folder that is removed with the object.
struct TestFolder {
    explicit TestFolder(const config::Files& files = {})
    {
        for (const auto& [name, text] : files)
            write(name, text);
    }

    void write(const std::string& name, const std::string& text) const
    {
        QFile file(dir.filePath(QString::fromStdString(name)));
        CPPUNIT_ASSERT(file.open(QIODevice::WriteOnly));
        file.write(QByteArray::fromStdString(text));
    }

    std::string read(const std::string& name) const
    {
        QFile file(dir.filePath(QString::fromStdString(name)));
        return file.open(QIODevice::ReadOnly) ? file.readAll().toStdString() : "absent";
    }

    std::string path() const { return dir.path().toStdString(); }

    QTemporaryDir dir;
};

} // namespace lacewing::test
