// Output of bench tables: text, JSON, and comparison with an earlier JSON file.
#pragma once

#include "base/result.h"
#include "bench/scenario.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::bench {

// Tables of one invocation, by scenario name.
struct Report {
    std::string revision; // git revision of the build
    std::uint64_t seed = 0;
    double scale = 1.0;
    std::vector<std::pair<std::string, Table>> tables;
};

struct OutputError {
    enum class Code { CannotRead, CannotWrite, NotAReport };

    Code code;
    std::string detail; // file name and reason
};

void printTable(std::ostream& out, const Table& table);

std::string toJson(const Report& report);
base::Result<Report, OutputError> fromJson(const std::string& text);

base::Result<Report, OutputError> readReport(const std::string& file);
base::Result<void, OutputError> writeReport(const std::string& file, const Report& report);

// Ratio new/old for each value of rows that both reports have. A value that is 0 in the old report gives no ratio (-1).
std::vector<Table> compare(const Report& before, const Report& after);

} // namespace lacewing::bench
