// Measurement of http::Server and http::Client: an entry instance that forwards, against a direct call.
//
// Endpoint, forwarder and callers run in one thread each of this process, over loopback TCP. Direct and forwarded
// requests alternate in short blocks, so that both see the same load of the machine; only ratios and differences of one
// run are comparable. The processor time is that of the forwarder's thread (server and client together).
#include "bench/scenario.h"
#include "http/client.h"
#include "http/server.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <QThread>
#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <unistd.h>

namespace lacewing::bench {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr int blocks = 10;            // of each kind
    constexpr int requestsPerBlock = 800; // at scale 1
    constexpr int warmUpRequests = 300;
    constexpr int idleConnections = 900; // below the limit of 1,000 of the server

    // Thread with an event loop.
    struct Loop {
        Loop()
        {
            context.moveToThread(&thread);
            thread.start();
        }

        ~Loop()
        {
            thread.quit();
            thread.wait();
        }

        Loop(const Loop&) = delete;
        Loop& operator=(const Loop&) = delete;

        void run(const std::function<void()>& work)
        {
            QMetaObject::invokeMethod(&context, work, Qt::BlockingQueuedConnection);
        }

        QThread thread;
        QObject context;
    };

    std::int64_t threadCpuNs()
    {
        timespec value {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
        return static_cast<std::int64_t>(value.tv_sec) * 1'000'000'000 + value.tv_nsec;
    }

    double residentMb()
    {
        std::ifstream file("/proc/self/statm");
        std::int64_t size = 0;
        std::int64_t resident = 0;
        file >> size >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
    }

    struct Measured {
        std::vector<double> latenciesUs;
        double wallSeconds = 0;
        double forwarderCpuSeconds = 0;
        int failures = 0;
    };

    // Callers that each send the next request after the answer to the last one.
    struct Callers {
        void begin(const QByteArray& target, int count, int concurrency, std::promise<void>& finished)
        {
            url = target;
            left = count;
            open = count;
            done = &finished;
            for (int index = 0; index < std::min(concurrency, count); ++index)
                next();
        }

        void next()
        {
            if (left == 0)
                return;
            --left;
            http::ClientRequest request;
            request.method = "POST";
            request.url = url;
            request.body = QByteArray(200, 'q');
            const Clock::time_point start = Clock::now();
            client.send(request, [this, start](const http::ClientResult& result) {
                const auto elapsed = std::chrono::duration<double, std::micro>(Clock::now() - start);
                latenciesUs.push_back(elapsed.count());
                failures += result.ok() && result.status == 200 && result.body.size() == 1000 ? 0 : 1;
                if (--open == 0)
                    done->set_value();
                else
                    next();
            });
        }

        http::Client client;
        QByteArray url;
        int left = 0;
        int open = 0;
        int failures = 0;
        std::vector<double> latenciesUs;
        std::promise<void>* done = nullptr;
    };

    struct Setup {
        Setup()
        {
            endpointLoop.run([this] {
                endpoint = std::make_unique<http::Server>(
                    http::ServerLimits {}, [](const http::Request&, const http::Responder& responder) {
                        responder.respond(http::textResponse(200, QByteArray(1000, 'a')));
                    });
                endpointUrl = listen(*endpoint);
            });
            forwarderLoop.run([this] {
                forwarderClient = std::make_unique<http::Client>();
                forwarder = std::make_unique<http::Server>(
                    http::ServerLimits {}, [this](const http::Request& request, const http::Responder& responder) {
                        forward(request, responder);
                    });
                forwarderUrl = listen(*forwarder);
                forwarderPort = forwarder->port();
            });
            callersLoop.run([this] { callers = std::make_unique<Callers>(); });
        }

        ~Setup()
        {
            callersLoop.run([this] {
                callers.reset();
                idle.clear();
            });
            forwarderLoop.run([this] {
                forwarder.reset();
                forwarderClient.reset();
            });
            endpointLoop.run([this] { endpoint.reset(); });
        }

        Setup(const Setup&) = delete;
        Setup& operator=(const Setup&) = delete;

        static QByteArray listen(http::Server& server)
        {
            const auto port = server.listen(QHostAddress::LocalHost, 0);
            return "http://127.0.0.1:" + QByteArray::number(port ? port.value() : 0) + "/svc/quotes/x";
        }

        void forward(const http::Request& request, const http::Responder& responder) const
        {
            http::ClientRequest onward;
            onward.method = request.method;
            onward.url = endpointUrl;
            onward.headers = request.headers;
            onward.body = request.body;
            forwarderClient->send(onward, [responder](const http::ClientResult& result) {
                responder.respond({ result.ok() ? result.status : 502, result.headers, result.body, false });
            });
        }

        // Adds one block to the measurement.
        void measure(const QByteArray& url, int count, int concurrency, Measured& measured)
        {
            std::int64_t cpuBefore = 0;
            std::int64_t cpuAfter = 0;
            forwarderLoop.run([&] { cpuBefore = threadCpuNs(); });
            const Clock::time_point start = Clock::now();
            std::promise<void> finished;
            callersLoop.run([&] { callers->begin(url, count, concurrency, finished); });
            finished.get_future().wait();
            measured.wallSeconds += std::chrono::duration<double>(Clock::now() - start).count();
            forwarderLoop.run([&] { cpuAfter = threadCpuNs(); });
            measured.forwarderCpuSeconds += static_cast<double>(cpuAfter - cpuBefore) * 1e-9;
            callersLoop.run([&] {
                measured.latenciesUs.insert(
                    measured.latenciesUs.end(), callers->latenciesUs.begin(), callers->latenciesUs.end());
                measured.failures += callers->failures;
                callers->latenciesUs.clear();
                callers->failures = 0;
            });
        }

        // Opens connections to the forwarder that send nothing.
        void openIdle(int count)
        {
            callersLoop.run([this, count] {
                for (int index = 0; index < count; ++index) {
                    idle.push_back(std::make_unique<QTcpSocket>());
                    idle.back()->connectToHost(QHostAddress::LocalHost, forwarderPort);
                    idle.back()->waitForConnected();
                }
            });
        }

        Loop endpointLoop;
        Loop forwarderLoop;
        Loop callersLoop;
        std::unique_ptr<http::Server> endpoint;
        std::unique_ptr<http::Server> forwarder;
        std::unique_ptr<http::Client> forwarderClient;
        std::unique_ptr<Callers> callers;
        QByteArray endpointUrl;
        QByteArray forwarderUrl;
        std::uint16_t forwarderPort = 0;
        std::vector<std::unique_ptr<QTcpSocket>> idle;
    };

    double quantile(std::vector<double> values, double share)
    {
        std::sort(values.begin(), values.end());
        const auto last = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(share * last)];
    }

    void addRows(Table& table, Setup& setup, int concurrency, int count, const std::string& note = {})
    {
        Measured direct;
        Measured forwarded;
        for (int block = 0; block < blocks; ++block) {
            setup.measure(setup.endpointUrl, count, concurrency, direct);
            setup.measure(setup.forwarderUrl, count, concurrency, forwarded);
        }
        const double directP50 = quantile(direct.latenciesUs, 0.5);
        const double directP99 = quantile(direct.latenciesUs, 0.99);
        const double forwardedP50 = quantile(forwarded.latenciesUs, 0.5);
        const double forwardedP99 = quantile(forwarded.latenciesUs, 0.99);
        const auto requests = static_cast<double>(forwarded.latenciesUs.size());
        const double cpuUs = forwarded.forwarderCpuSeconds * 1e6 / requests;
        const std::string suffix = " callers=" + std::to_string(concurrency) + note;
        table.rows.push_back({ "direct" + suffix,
            { requests / direct.wallSeconds, directP50, directP99, 0, 0, 0, 0, static_cast<double>(direct.failures),
                residentMb() } });
        table.rows.push_back({ "forwarded" + suffix,
            { requests / forwarded.wallSeconds, forwardedP50, forwardedP99, forwardedP50 - directP50,
                forwardedP99 - directP99, cpuUs, 1e6 / cpuUs, static_cast<double>(forwarded.failures),
                residentMb() } });
    }

    Table runForward(const Options& options)
    {
        // Event loops in threads need an application object.
        std::optional<QCoreApplication> application;
        int argc = 1;
        char name[] = "lacewing-bench";
        char* argv[] = { name, nullptr };
        if (QCoreApplication::instance() == nullptr)
            application.emplace(argc, argv);

        Table table;
        table.title = "HTTP forwarding over loopback, 200 bytes there, 1000 bytes back";
        table.columns = { "requests/s", "p50 us", "p99 us", "added p50 us", "added p99 us", "forwarder cpu us/request",
            "requests/s of one core", "failures", "resident MB of all" };
        Setup setup;
        Measured warmUp;
        setup.measure(setup.endpointUrl, warmUpRequests, 4, warmUp);
        setup.measure(setup.forwarderUrl, warmUpRequests, 4, warmUp);
        const int count = std::max(20, static_cast<int>(requestsPerBlock * options.scale));
        for (const int concurrency : { 1, 8, 32 })
            addRows(table, setup, concurrency, count);
        // Event loops of Qt poll every descriptor, so idle connections cost time with each request.
        setup.openIdle(idleConnections);
        addRows(table, setup, 8, count, " idle=" + std::to_string(idleConnections));
        return table;
    }

} // namespace

std::vector<Scenario> httpScenarios()
{
    return { { "http-forward", "HTTP server and client: forwarded against direct requests over loopback",
        runForward } };
}

} // namespace lacewing::bench
