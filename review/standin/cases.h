// The cases that are played with stand-ins.
#pragma once

#include <QString>
#include <cstdint>
#include <functional>
#include <vector>

namespace lacewing::review {

struct CaseSettings {
    QString record;                   // path of record.txt
    bool hasTrouble = true;           // false: the same without the disruption
    std::vector<std::uint16_t> ports; // the store, then readiness and callers of each daemon, then executors
    QString folder;                   // for the settings of daemons that a case starts itself
};

// Plays the case and returns the exit code of main().
using Case = std::function<int(const CaseSettings&)>;

Case findCase(const QString& name);

} // namespace lacewing::review
