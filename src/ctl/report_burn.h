// Report of error-budget burn rates over all daemons, merged from their answers to GET /v1/slo. Written as text or
// JSON, and optionally as an HTML file.
#pragma once

#include "base/burn.h"

#include <QByteArray>
#include <iosfwd>
#include <string>
#include <vector>

namespace lacewing::ctl {

// Result of querying one daemon. Without an answer, `error` holds the cause; the report lists such daemons as missing.
struct DaemonSlo {
    std::string address; // HOST:PORT
    std::optional<base::SloResponse> answer;
    std::string error;
};

// Parses the body of GET /v1/slo (written by base::toJson(SloResponse)). An invalid body sets `error`.
DaemonSlo parseSlo(const std::string& address, const QByteArray& body);

struct BurnOptions {
    bool isJson = false;
    std::string htmlFile; // empty: no HTML file
};

// Writes the report. Returns 0, 3 when no daemon answered, or 9 when the HTML file cannot be written.
int runBurnReport(
    const std::vector<DaemonSlo>& daemons, const BurnOptions& options, std::ostream& out, std::ostream& err);

} // namespace lacewing::ctl
