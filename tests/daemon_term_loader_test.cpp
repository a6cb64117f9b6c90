// Tests of TermLoader against a scripted store, and of what its calls do to the renewal of the term over a thin link.
#include "daemon/term_loader.h"

#include "daemon/commit_budget.h"
#include "daemon/runtime.h"
#include "http_support.h"

#include <QUrlQuery>
#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;
using namespace lacewing::test;

QByteArray response(int status, const QByteArray& body)
{
    return "HTTP/1.1 " + QByteArray::number(status) + " Text\r\nContent-Type: application/json\r\nContent-Length: "
        + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

QByteArray itemText(const std::string& key)
{
    return "{\"key\":\"" + QByteArray::fromStdString(key) + R"(","value":"e30=","revision":5,"created":4})";
}

// Store with pages of three items. Notes the largest number of calls at once.
struct ScriptedStore {
    ScriptedStore()
        : endpoint([this](QTcpSocket& socket, const QByteArray& request) { answer(socket, request); })
    {
    }

    void answer(QTcpSocket& socket, const QByteArray& request)
    {
        constexpr int answerMs = 5;
        const QByteArray target = request.split(' ').at(1);
        targets.push_back(target.toStdString());
        most = std::max(most, ++open);
        QTimer::singleShot(answerMs, &socket, [this, &socket, target] {
            --open;
            if (failures > 0 && target.startsWith("/kv-range") && target.contains("after=")) {
                --failures;
                socket.write(interruptsAnswers ? QByteArray("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{")
                            + QByteArray(minDividedBytes, ' ')
                                               : response(503, "{}"));
                if (interruptsAnswers)
                    socket.disconnectFromHost();
                return;
            }
            const QUrlQuery query(QString::fromUtf8(target.mid(target.indexOf('?') + 1)));
            if (target.startsWith("/kv-key")) {
                socket.write(response(404, R"({"at":9})"));
                return;
            }
            socket.write(response(
                200, page(query.queryItemValue("prefix").toStdString(), query.queryItemValue("after").toStdString())));
        });
    }

    QByteArray page(const std::string& prefix, const std::string& after) const
    {
        QByteArray items;
        int count = 0;
        bool hasMore = false;
        for (const std::string& key : keys) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            hasMore = count == 3;
            if (hasMore)
                break;
            items += (count++ > 0 ? "," : "") + itemText(key);
        }
        return "{\"items\":[" + items + "],\"has_more\":" + (hasMore ? "true" : "false")
            + ",\"at\":" + QByteArray::number(100 + static_cast<int>(targets.size())) + "}";
    }

    std::set<std::string> keys;
    int failures = 0; // calls for further pages that fail first
    bool interruptsAnswers = false;
    int open = 0;
    int most = 0;
    std::vector<std::string> targets;
    RawEndpoint endpoint;
};

std::string hexId(int number)
{
    return QString::number(number * 7919, 16).rightJustified(16, QLatin1Char('a')).toStdString();
}

// --- Model of the link of a daemon that begins a term ---
//
// Answers share the link in the order in which their bytes were sent. Each connection has at most one window of bytes
// under way, so that the answer to a renewal waits for one window of each other answer.

constexpr double windowBytes = 65536; // of one connection; assumed
constexpr double callTimeoutMs = 500; // of a renewal
constexpr double validityMs = 1500;   // of a term after its last renewal
constexpr double storeMs = 20;        // for one call, without its transfer
constexpr double bytesPerMsAtOneMbps = 125;

double renewalDelayMs(double linkMbps, int answersAtOnce, double largestAnswerBytes)
{
    const double ahead = answersAtOnce * std::min(windowBytes, largestAnswerBytes);
    return storeMs + ahead / (linkMbps * bytesPerMsAtOneMbps);
}

struct Deployment {
    const char* name;
    double jobs;
    double openShare; // of the jobs; the records of the others are short
    double tasksPerJob;
};

constexpr double acceptedBytes = 2600; // in a list, with base64 and the rest of the item
constexpr double progressBytesPerTask = 40;
constexpr double shortBytes = 2 * 300; // of both records of an ended job

double stateBytes(const Deployment& deployment)
{
    const double open = deployment.jobs * deployment.openShare;
    return open * (acceptedBytes + progressBytesPerTask * deployment.tasksPerJob)
        + (deployment.jobs - open) * shortBytes;
}

struct LoadTime {
    double ms = 0;
    int calls = 0;
};

// Reads a list of so many bytes in pages of at most 1 MB; every third call fails halfway when `fails`.
LoadTime loadTime(double bytes, double linkMbps, bool fails)
{
    constexpr double pageBytes = 1024 * 1024;
    constexpr double retryMs = 250;
    LoadTime time;
    ListCursor cursor = beginList("p/");
    std::map<std::string, double> left { { "p/", bytes } }; // by piece
    while (!isComplete(cursor)) {
        const std::string prefix = cursor.pieces.front().prefix;
        if (left.count(prefix) == 0) // a piece holds an equal part of its parent; capital letters are not used
            left[prefix] = std::isupper(static_cast<unsigned char>(prefix.back())) != 0
                ? 0
                : left.at(prefix.substr(0, prefix.size() - 1)) / 16;
        const double answer = std::min(pageBytes, left[prefix]);
        const bool isInterrupted = ++time.calls % 3 == 0 && fails;
        const double transferMs = answer / (linkMbps * bytesPerMsAtOneMbps);
        time.ms += storeMs + (isInterrupted ? transferMs / 2 + retryMs : transferMs);
        if (isInterrupted) {
            applyFailure(cursor, static_cast<std::int64_t>(answer / 2));
            continue;
        }
        left[prefix] -= answer;
        applyPage(cursor, prefix + "0", left[prefix] <= 0, 1, static_cast<std::int64_t>(answer));
    }
    return time;
}

class TermLoaderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TermLoaderTest);
    CPPUNIT_TEST(readsOneCallAtATimeAndRepeatsOnlyWhatFailed);
    CPPUNIT_TEST(dividesAPageThatIsInterrupted);
    CPPUNIT_TEST(renewalIsAnsweredWhileAThinLinkLoads);
    CPPUNIT_TEST(loadTakesTheTimeOfItsTransfer);
    CPPUNIT_TEST(loadEndsWhenCallsFail);
    CPPUNIT_TEST(transactionsFitTheLink);
    CPPUNIT_TEST(renewalIsSentAloneAfterAFailure);
    CPPUNIT_TEST_SUITE_END();

    struct Loaded {
        std::vector<std::string> accepted;
        std::vector<std::string> progress;
        std::int64_t revision = 0;
        TermLoadCounts counts;
    };

    static Loaded load(ScriptedStore& script)
    {
        platform::StoreSettings settings;
        settings.address = "127.0.0.1:" + QString::number(script.endpoint.port);
        platform::Store store(settings);
        base::Metrics metrics;
        Loaded loaded;
        bool isFinished = false;
        TermLoader loader(store, metrics, 42,
            { [&](LoadStep step, const platform::Item& item) {
                 (step == LoadStep::Accepted ? loaded.accepted : loaded.progress).push_back(item.key);
                 return true;
             },
                [&] { isFinished = true; } });
        loader.start();
        CPPUNIT_ASSERT(waitUntil([&] { return isFinished; }));
        loaded.revision = loader.acceptedRevision();
        loaded.counts = loader.counts();
        return loaded;
    }

    static void fill(ScriptedStore& script, int jobs)
    {
        for (int i = 0; i < jobs; ++i) {
            script.keys.insert(storeKeys::acceptedPrefix + hexId(i));
            script.keys.insert(storeKeys::progressPrefix + hexId(i));
        }
    }

public:
    // Guards against terms that never load because one failed call throws away what the others have read, and because
    // several answers at once share a thin link (bench day trouble-3 of the large deployment, small).
    void readsOneCallAtATimeAndRepeatsOnlyWhatFailed()
    {
        ScriptedStore script;
        fill(script, 20);
        script.failures = 5;
        const Loaded loaded = load(script);
        CPPUNIT_ASSERT_EQUAL(1, script.most);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), loaded.accepted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), loaded.progress.size());
        CPPUNIT_ASSERT(std::is_sorted(loaded.accepted.begin(), loaded.accepted.end()));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), loaded.counts.failures);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4 + 7 + 7 + 5), loaded.counts.calls);
        // The first page is the fifth call; jobs accepted after it are left to the watch.
        CPPUNIT_ASSERT_EQUAL(std::int64_t(105), loaded.revision);
    }

    // Guards against asking again and again for an answer that is too long for the connection.
    void dividesAPageThatIsInterrupted()
    {
        ScriptedStore script;
        fill(script, 20);
        script.failures = 1;
        script.interruptsAnswers = true;
        const Loaded loaded = load(script);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), loaded.counts.interruptions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), loaded.accepted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), loaded.progress.size());
        CPPUNIT_ASSERT_EQUAL(1, script.most);
    }

    // Guards against a renewal that waits for the load of its own term: five reads at once, as before, exceed its limit
    // on the thinnest link.
    void renewalIsAnsweredWhileAThinLinkLoads()
    {
        constexpr double thinnestMbps = 2;
        constexpr double largest = 1024 * 1024;
        CPPUNIT_ASSERT(renewalDelayMs(thinnestMbps, 5, largest) > callTimeoutMs);
        CPPUNIT_ASSERT(renewalDelayMs(thinnestMbps, 1, largest) < callTimeoutMs);
    }

    // The time from the election to the loaded term: transfer of the state and one round trip for each page. With the
    // rest of a take-over it stays within the platform's 15 s on every link of the deployments.
    void loadTakesTheTimeOfItsTransfer()
    {
        constexpr double recoveryMs = 15000;
        constexpr double otherPartsMs = 4500; // restart, take-over, reports, first starts
        const Deployment deployments[]
            = { { "small twin", 300, 0.5, 40 }, { "97 instances", 1400, 0.3, 27 }, { "300 instances", 4200, 0.3, 27 } };
        for (const Deployment& deployment : deployments) {
            const double bytes = stateBytes(deployment);
            for (const double linkMbps : { 2.0, 20.0, 200.0 }) {
                const LoadTime time = loadTime(bytes, linkMbps, false);
                const double transferMs = bytes / (linkMbps * bytesPerMsAtOneMbps);
                CPPUNIT_ASSERT(time.ms <= transferMs + time.calls * storeMs + 1);
                const bool isOnThinLink = linkMbps < 10 && deployment.jobs > 1000; // no deployment has both
                if (!isOnThinLink)
                    CPPUNIT_ASSERT_MESSAGE(deployment.name, time.ms + otherPartsMs < recoveryMs);
            }
        }
    }

    void loadEndsWhenCallsFail()
    {
        for (const double jobs : { 300.0, 1400.0, 4200.0 }) {
            const double bytes = stateBytes({ "", jobs, 0.5, 40 });
            const LoadTime whole = loadTime(bytes, 2, false);
            const LoadTime failing = loadTime(bytes, 2, true);
            // One piece of three is transferred by half in vain; each failure costs a pause, each division its calls.
            CPPUNIT_ASSERT(failing.ms < 2 * whole.ms + failing.calls * (storeMs + 250.0));
            CPPUNIT_ASSERT(failing.calls <= 2 * 22 * whole.calls); // each page is divided once at most
        }
    }

    // Guards against renewals that time out because the transaction carries more records than the link does in time.
    void transactionsFitTheLink()
    {
        for (const double linkMbps : { 2.0, 20.0, 200.0 }) {
            const CommitBudget budget = makeCommitBudget(linkMbps, static_cast<int>(callTimeoutMs));
            CPPUNIT_ASSERT(static_cast<double>(budget.bytes) / (linkMbps * bytesPerMsAtOneMbps) < callTimeoutMs / 2);
        }
        CPPUNIT_ASSERT(makeCommitBudget(0, 500).bytes >= 1024LL * 1024);
    }

    void renewalIsSentAloneAfterAFailure()
    {
        CommitBudget budget = makeCommitBudget(2, static_cast<int>(callTimeoutMs));
        const std::int64_t whole = budget.bytes;
        CPPUNIT_ASSERT(hasRoomFor(budget, 0, 10 * whole)); // a long record goes alone
        CPPUNIT_ASSERT(!hasRoomFor(budget, 1, whole));
        for (int i = 0; i < 20; ++i) {
            applyFailure(budget);
            CPPUNIT_ASSERT(!hasRoomFor(budget, 0, 1));
        }
        CPPUNIT_ASSERT(budget.bytes > 0);
        applySuccess(budget);
        CPPUNIT_ASSERT(hasRoomFor(budget, 0, 1));
        for (int i = 0; i < 20; ++i)
            applySuccess(budget);
        CPPUNIT_ASSERT_EQUAL(whole, budget.bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermLoaderTest);

} // namespace
