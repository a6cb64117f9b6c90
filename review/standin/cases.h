// The cases that are played with stand-ins.
#pragma once

#include <QString>
#include <cstdint>
#include <functional>
#include <vector>

namespace lacewing::review {

struct CaseSettings {
    QString record;         // path of record.txt
    bool hasTrouble = true; // false: the same without the disruption
    // The store; readiness and callers of each daemon; the executors; the advice service.
    std::vector<std::uint16_t> ports;
};

// Plays the case and returns the exit code of main().
using Case = std::function<int(const CaseSettings&)>;

Case findCase(const QString& name);

} // namespace lacewing::review
