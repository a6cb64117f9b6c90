// Terms of the scheduling daemon as the daemons' logs tell them. The times are those at which the lines were read.
#pragma once

#include <QByteArray>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::soak {

std::int64_t nowMs(); // steady clock, the same in all processes of the machine

struct Term {
    std::string daemon;
    std::int64_t token = 0;
    // --- ms of the steady clock; 0: not seen ---
    std::int64_t electedAt = 0;
    std::int64_t loadedAt = 0;    // the jobs were read
    std::int64_t accountedAt = 0; // every task has a known place
    std::int64_t endedAt = 0;     // by the daemon's own log, or with its process
    std::string endReason;
};

struct TermLog {
    std::vector<Term> terms; // in the order of their elections
};

void applyLine(TermLog& log, const std::string& daemon, const QByteArray& line);
void applyProcessEnd(TermLog& log, const std::string& daemon);

// Lines with the times after `origin`, "-" for what was not seen.
std::vector<std::string> describe(const TermLog& log, std::int64_t origin);

} // namespace lacewing::soak
