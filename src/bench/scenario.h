// Table of the bench's named scenarios, and the tables that they produce.
//
// Each module adds its scenarios with a function `std::vector<Scenario> <module>Scenarios()` that main.cpp lists.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewing::bench {

struct Options {
    std::uint64_t seed = 20261204; // seed of every random number
    double scale = 1.0;            // multiplies the length of a run; below 1 for quick trials
    int jobs = 3;                  // threads for independent rows; results do not depend on it
    std::string filter;            // scenario specific: only rows whose name contains this text
};

struct Row {
    std::string name;           // unique in its table; --compare matches rows by it
    std::vector<double> values; // one for each column
};

struct Table {
    std::string title;
    std::vector<std::string> columns; // names with units, without the column of row names
    std::vector<Row> rows;
};

struct Scenario {
    std::string name;
    std::string description;
    std::function<Table(const Options&)> run;
};

std::vector<Scenario> routingScenarios();
std::vector<Scenario> batchScenarios();
std::vector<Scenario> httpScenarios();

} // namespace lacewing::bench
