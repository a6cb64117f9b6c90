// lacewing-standin: plays the platform on loopback for tests and demonstrations.
#include "standin/standin.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace lacewing;

// Applies the options that were given.
void applyOptions(const cxxopts::ParseResult& options, standin::StandinSettings& settings)
{
    const auto apply = [&](const char* name, int& target) {
        if (options.count(name) > 0)
            target = options[name].as<int>();
    };
    apply("base-port", settings.basePort);
    apply("racks", settings.racks);
    apply("workers", settings.workers);
    apply("endpoints", settings.endpoints);
    apply("service-ms", settings.serviceMs);
    apply("store-delay-ms", settings.storeDelayMs);
    apply("instances-lag-ms", settings.instancesLagMs);
    apply("report-lag-ms", settings.reportLagMs);
    if (options.count("data-centres") > 0)
        settings.dataCentres = options["data-centres"].as<std::vector<std::string>>();
}

int run(int argc, char** argv)
{
    cxxopts::Options options("lacewing-standin", "Stand-in for store, instance list, workers and endpoints");
    // clang-format off
    options.add_options()
        ("settings", "JSON file of settings", cxxopts::value<std::string>())
        ("base-port", "first port; 0: assigned by the system", cxxopts::value<int>())
        ("data-centres", "names, separated by commas", cxxopts::value<std::vector<std::string>>())
        ("racks", "racks in each data centre", cxxopts::value<int>())
        ("workers", "workers in all", cxxopts::value<int>())
        ("endpoints", "endpoints in all", cxxopts::value<int>())
        ("service-ms", "service time of an endpoint", cxxopts::value<int>())
        ("store-delay-ms", "reply time of the store", cxxopts::value<int>())
        ("instances-lag-ms", "age of the instance list", cxxopts::value<int>())
        ("report-lag-ms", "age of the newest usage report", cxxopts::value<int>())
        ("version", "print the version")
        ("help", "print this text");
    // clang-format on
    standin::StandinSettings settings;
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsed.count("version") > 0) {
        std::cout << "lacewing-standin " << LACEWING_VERSION << '\n';
        return 0;
    }
    if (parsed.count("settings") > 0) {
        const std::string name = parsed["settings"].as<std::string>();
        QFile file(QString::fromStdString(name));
        if (!file.open(QIODevice::ReadOnly)) {
            std::cerr << name << ": " << file.errorString().toStdString() << '\n';
            return 2;
        }
        const auto read = standin::parseSettings(file.readAll().toStdString(), name);
        if (!read) {
            for (const base::InputError& error : read.error())
                std::cerr << base::describe(error) << '\n';
            return 2;
        }
        settings = read.value();
    }
    applyOptions(parsed, settings);
    if (settings.racks < 1 || settings.workers < 0 || settings.endpoints < 0 || settings.dataCentres.empty()) {
        std::cerr << "lacewing-standin: sizes must not be negative, and racks at least 1\n";
        return 2;
    }

    QCoreApplication application(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    standin::Standin standin(settings);
    const std::string fault = standin.listen();
    if (!fault.empty()) {
        std::cerr << "lacewing-standin: cannot listen: " << fault << '\n';
        return 1;
    }
    // One line for scripts that wait for the start.
    const QJsonObject ready { { "adminPort", standin.adminPort() }, { "storePort", standin.storePort() } };
    std::cout << QJsonDocument(ready).toJson(QJsonDocument::Compact).toStdString() << std::endl;
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "lacewing-standin: %s\n", error.what()); // a wrong option, in most cases
        return 2;
    }
}
