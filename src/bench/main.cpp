// lacewing-bench: measures the decision code on a virtual clock with fixed seeds.
//
// Commands: `list` prints the scenarios; `run NAME...` runs those whose name starts with a NAME, `run` alone all of
// them; `NAME` alone is short for `run NAME`. Exit code 2 on a usage error, 1 on a file error.
#include "bench/output.h"
#include "bench/scenario.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace lacewing::bench;

std::vector<Scenario> allScenarios()
{
    // Each module appends its list here.
    std::vector<Scenario> scenarios;
    for (const auto& list : { routingScenarios(), batchScenarios(), httpScenarios() })
        scenarios.insert(scenarios.end(), list.begin(), list.end());
    return scenarios;
}

bool isSelected(const Scenario& scenario, const std::vector<std::string>& names)
{
    for (const std::string& name : names) {
        if (scenario.name.starts_with(name))
            return true;
    }
    return names.empty();
}

int list(const std::vector<Scenario>& scenarios)
{
    for (const Scenario& scenario : scenarios)
        std::cout << scenario.name << ": " << scenario.description << '\n';
    return 0;
}

int fail(const OutputError& error)
{
    std::cerr << "lacewing-bench: " << error.detail << '\n';
    return 1;
}

int run(
    const std::vector<Scenario>& scenarios, const std::vector<std::string>& names, const cxxopts::ParseResult& given)
{
    Options options;
    options.seed = given["seed"].as<std::uint64_t>();
    options.scale = given["scale"].as<double>();
    options.jobs = given["jobs"].as<int>();
    options.filter = given["filter"].as<std::string>();
    Report report { given["revision"].as<std::string>(), options.seed, options.scale, {} };
    std::cout << "revision " << report.revision << ", seed " << report.seed << ", scale " << report.scale << "\n\n";
    for (const Scenario& scenario : scenarios) {
        if (!isSelected(scenario, names))
            continue;
        Table table = scenario.run(options);
        printTable(std::cout, table);
        std::cout << '\n';
        report.tables.emplace_back(scenario.name, std::move(table));
    }
    if (report.tables.empty()) {
        std::cerr << "lacewing-bench: no such scenario; see lacewing-bench list\n";
        return 2;
    }
    if (given.count("compare") > 0) {
        const auto before = readReport(given["compare"].as<std::string>());
        if (!before)
            return fail(before.error());
        std::cout << "compared with revision " << before.value().revision << '\n';
        for (const Table& table : compare(before.value(), report))
            printTable(std::cout, table);
    }
    if (given.count("json") > 0) {
        const auto written = writeReport(given["json"].as<std::string>(), report);
        if (!written)
            return fail(written.error());
    }
    return 0;
}

cxxopts::Options describeOptions()
{
    cxxopts::Options options("lacewing-bench", "Measures the decision code of lacewingloft");
    options.add_options()("command", "list, run, or a scenario name", cxxopts::value<std::string>());
    options.add_options()("names", "scenario names", cxxopts::value<std::vector<std::string>>());
    options.add_options()(
        "seed", "seed of every random number", cxxopts::value<std::uint64_t>()->default_value("20261204"));
    options.add_options()("scale", "multiplies the length of a run", cxxopts::value<double>()->default_value("1"));
    options.add_options()("jobs", "threads for independent rows", cxxopts::value<int>()->default_value("3"));
    options.add_options()(
        "filter", "only rows that contain this text", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("json", "write the tables to this file", cxxopts::value<std::string>());
    options.add_options()("compare", "show ratios to this earlier JSON file", cxxopts::value<std::string>());
    options.add_options()(
        "revision", "git revision to record in the JSON file", cxxopts::value<std::string>()->default_value("unknown"));
    options.add_options()("h,help", "show this text");
    options.parse_positional({ "command", "names" });
    options.positional_help("list | run [NAME...] | NAME");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options = describeOptions();
        const cxxopts::ParseResult given = options.parse(argc, argv);
        if (given.count("help") > 0 || given.count("command") == 0) {
            std::cout << options.help();
            return given.count("help") > 0 ? 0 : 2;
        }
        const std::string command = given["command"].as<std::string>();
        std::vector<std::string> names;
        if (given.count("names") > 0)
            names = given["names"].as<std::vector<std::string>>();
        if (command == "list")
            return list(allScenarios());
        if (command != "run")
            names.insert(names.begin(), command);
        return run(allScenarios(), names, given);
    } catch (const std::exception& error) { // cxxopts reports usage errors by exceptions
        std::cerr << "lacewing-bench: " << error.what() << '\n';
        return 2;
    }
}
