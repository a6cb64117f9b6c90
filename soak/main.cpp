// lacewing-soak: runs daemons and the stand-in as processes, disturbs them by seeded schedules, and checks the promises
// that clients and workers see.
//
// Exit codes: 0 no violation, 1 violations, 2 usage.
#include "soak/run.h"

#include <QCoreApplication>
#include <QDir>
#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace lacewing;
using namespace lacewing::soak;

enum class ExitCode { Passed = 0, Violated = 1, Usage = 2 };

// "1-5,9": the seeds 1 to 5 and 9.
std::vector<std::uint64_t> parseSeeds(const std::string& text)
{
    std::vector<std::uint64_t> seeds;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const std::size_t dash = part.find('-');
        const std::uint64_t first = std::stoull(part);
        const std::uint64_t last = dash == std::string::npos ? first : std::stoull(part.substr(dash + 1));
        for (std::uint64_t seed = first; seed <= last; ++seed)
            seeds.push_back(seed);
    }
    return seeds;
}

// First words of the lines of the file, without comments.
std::vector<std::uint64_t> readSeeds(const std::string& path)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::string line;
    while (std::getline(file, line)) {
        if (!line.empty() && line[0] != '#')
            seeds.push_back(std::stoull(line));
    }
    return seeds;
}

void print(const RunResult& result, bool isVerbose)
{
    constexpr std::int64_t shownGapMs = 1000; // shorter ones are only counted
    if (isVerbose || !result.violations.empty()) {
        for (const std::string& term : result.terms)
            std::cout << "  " << term << '\n';
        for (const Gap& gap : result.gaps)
            if (gap.to - gap.from >= shownGapMs)
                std::cout << "  lasting task " << gap.task << " down for " << gap.to - gap.from << " ms, from "
                          << gap.from - result.origin << " to " << gap.to - result.origin << '\n';
    }
    constexpr std::size_t mostPrinted = 20; // the logs have the others
    for (std::size_t i = 0; i < std::min(mostPrinted, result.violations.size()); ++i)
        std::cout << "  VIOLATION: " << result.violations[i] << '\n';
    std::int64_t longest = 0;
    for (const Gap& gap : result.gaps)
        longest = std::max(longest, gap.to - gap.from);
    const ClientCounts& clients = result.clients;
    std::cout << "  jobs submitted " << clients.submitted << ", accepted " << clients.accepted << ", refused "
              << clients.refused << ", completed " << clients.completed << ", cancelled " << clients.cancelled
              << "; calls " << clients.calls << ", unanswered " << clients.unanswered << "; starts " << result.starts
              << "; terms " << result.termCount << "; lasting tasks down " << result.gaps.size() << " times, longest "
              << longest << " ms; jobs with nothing running beside free workers at most " << result.longestIdleMs
              << " ms; repeated run numbers " << result.repeatedNumbers << "; answers for queues "
              << result.queueAnswers << ", refused " << result.queueRefusals << "; violations "
              << result.violations.size() << std::endl;
}

bool runSeed(const cxxopts::ParseResult& arguments, std::uint64_t seed, const std::string& scenario)
{
    RunPlan plan;
    plan.seed = seed;
    plan.durationMs = arguments["seconds"].as<int>() * 1000;
    plan.lastingJobs = arguments["lasting-jobs"].as<int>();
    plan.cluster.basePort = arguments["base-port"].as<int>();
    plan.cluster.daemons = arguments["daemons"].as<int>();
    plan.cluster.workers = arguments["workers"].as<int>();
    plan.cluster.oddEntries = arguments["odd-entries"].as<int>();
    plan.cluster.programs = QString::fromStdString(arguments["programs"].as<std::string>());
    if (plan.cluster.daemons < 1 || plan.cluster.daemons > mostDaemons || plan.cluster.workers < 1
        || plan.cluster.workers > mostWorkers)
        throw std::runtime_error("the number of daemons or workers is out of range");
    QDir folder(QString::fromStdString(arguments["logs"].as<std::string>()));
    const QString name = QStringLiteral("%1-%2").arg(
        scenario.empty() ? QStringLiteral("seed") : QString::fromStdString(scenario), QString::number(seed));
    QDir(folder.filePath(name)).removeRecursively();
    if (!folder.mkpath(name))
        throw std::runtime_error("cannot create " + folder.filePath(name).toStdString());
    plan.cluster.folder = folder.absoluteFilePath(name);
    const ScheduleShape shape { plan.cluster.daemons, plan.cluster.workers, plan.durationMs };
    const auto fixed = base::valueOf(scenarioNames, scenario);
    plan.faults = fixed ? scenarioSchedule(*fixed, seed, shape) : drawSchedule(seed, shape);
    if (fixed)
        plan.traffic = scenarioTraffic(*fixed);
    std::cout << name.toStdString() << ", faults:\n";
    for (const Fault& fault : plan.faults)
        std::cout << "  " << describe(fault) << '\n';
    const RunResult result = play(plan);
    print(result, arguments.count("verbose") > 0 || !scenario.empty());
    if (!result.violations.empty() || arguments.count("keep-logs") > 0)
        std::cout << "  times are after " << result.origin << " ms of the steady clock; logs in "
                  << plan.cluster.folder.toStdString() << std::endl;
    else
        QDir(plan.cluster.folder).removeRecursively();
    return result.violations.empty();
}

int run(const cxxopts::ParseResult& arguments, int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    const std::string scenario = arguments["scenario"].as<std::string>();
    if (!scenario.empty() && !base::valueOf(scenarioNames, scenario))
        throw std::runtime_error("no scenario has the name " + scenario);
    std::vector<std::uint64_t> seeds = parseSeeds(arguments["seeds"].as<std::string>());
    if (arguments.count("seed-file"))
        seeds = readSeeds(arguments["seed-file"].as<std::string>());
    std::string failed;
    int failures = 0;
    for (const std::uint64_t seed : seeds) {
        if (runSeed(arguments, seed, scenario))
            continue;
        ++failures;
        failed += ' ' + std::to_string(seed);
    }
    std::cout << "soak: " << seeds.size() << " runs, " << failures << " with violations"
              << (failed.empty() ? "" : ": seeds" + failed) << std::endl;
    return static_cast<int>(failures == 0 ? ExitCode::Passed : ExitCode::Violated);
}

int runProgram(int argc, char** argv)
{
    cxxopts::Options options("lacewing-soak", "Fault soak of daemons as processes on the stand-in.\n");
    const auto text = [](const char* value) { return cxxopts::value<std::string>()->default_value(value); };
    const auto number = [](const char* value) { return cxxopts::value<int>()->default_value(value); };
    options.add_options()("seeds", "seeds, such as 1-5,9", text("1"))("seed-file",
        "file with a seed at the begin of each line, instead of --seeds", cxxopts::value<std::string>())("scenario",
        "faults of one kind of incident instead of drawn ones: interrupted-recovery, unreachable-workers, "
        "repeated-runs "
        "or crowded-recovery",
        text(""))("seconds", "length of the traffic beside faults", number("20"))("daemons", "number of daemons",
        number("3"))("workers", "number of workers", number("12"))("lasting-jobs", "lasting jobs of three tasks each",
        number("5"))("odd-entries", "entries that name no worker", number("0"))("base-port", "first of 700 ports",
        number("22000"))("programs", "folder of lacewingd and lacewing-standin", text("build"))("logs",
        "folder of the logs", text("/tmp/lacewing-soak"))("keep-logs", "keep the logs of runs without violations")(
        "verbose", "print terms and lasting tasks of every run")("h,help", "print this help and exit");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        std::cout << options.help();
        return static_cast<int>(ExitCode::Passed);
    }
    return run(arguments, argc, argv);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "lacewing-soak: " << error.what() << "; see --help" << std::endl;
        return static_cast<int>(ExitCode::Usage);
    }
}
