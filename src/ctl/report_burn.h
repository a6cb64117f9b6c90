// Burn report of the fleet from the answers of GET /v1/slo of all daemons: text, JSON, or one HTML file.
#pragma once

#include "base/burn.h"

#include <QByteArray>
#include <iosfwd>
#include <string>
#include <vector>

namespace lacewing::ctl {

// One daemon that was asked. Without an answer, `error` says why; the report names such daemons.
struct DaemonSlo {
    std::string address; // HOST:PORT
    std::optional<base::SloResponse> answer;
    std::string error;
};

// Reads the body of GET /v1/slo (the JSON of base::toJson(SloResponse)). A body that is not valid becomes an error.
DaemonSlo parseSlo(const std::string& address, const QByteArray& body);

struct BurnOptions {
    bool isJson = false;
    std::string htmlFile; // empty: none
};

// Writes the report. Returns 0, 3 when no daemon answered, or 9 when the HTML file cannot be written.
int runBurnReport(
    const std::vector<DaemonSlo>& daemons, const BurnOptions& options, std::ostream& out, std::ostream& err);

} // namespace lacewing::ctl
