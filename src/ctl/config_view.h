// Functions shared by the config commands: fetching the configuration in force, comparing configurations, and JSON
// output.
#pragma once

#include "config/diff.h"
#include "config/policy.h"
#include "config/revision.h"
#include "ctl/command.h"
#include "ctl/folder.h"

#include <QJsonArray>
#include <QJsonObject>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::ctl {

// Reads the folder and, without --json, prints the names of ignored files. On failure reports it, sets `code` and
// returns nullopt.
std::optional<Folder> loadFolder(Context& context, const std::string& path, ExitCode& code);

// Fetches GET /v1/config. On failure reports it, sets `code` and returns nullopt.
std::optional<config::StoredConfig> fetchCurrent(Context& context, ExitCode& code);

// Entries of GET /v1/config/history, newest first; empty when the call fails. Entries that cannot be decoded are
// skipped.
std::vector<config::HistoryEntry> fetchHistory(Context& context);

// Names of files that were added, removed or changed, each with `+`, `-` or `~` in front.
std::vector<std::string> changedFiles(const config::Files& before, const config::Files& after);

// One line for each change: `~ PATH BEFORE -> AFTER  (FILE:LINE)`.
std::string changesText(const std::vector<config::Change>& changes, bool hasColor);

QJsonObject toJson(const config::ConfigError& error);
QJsonArray toJson(const config::ConfigErrors& errors);
QJsonArray toJson(const std::vector<config::Change>& changes);
QJsonObject toJson(const config::HistoryEntry& entry);
QJsonArray toJson(const std::vector<std::string>& texts);

// Reports a configuration that failed the check: one line for each error, or JSON.
ExitCode failCheck(Context& context, const config::ConfigErrors& errors);

// Descriptions of the daemons and data centres that a status answer shows below a revision, and of the unreachable data
// centres. Peers that are leaving or stopped are not listed. Empty when the revision is in force everywhere.
std::vector<std::string> missingRevision(const QJsonObject& status, base::Revision revision);

} // namespace lacewing::ctl
