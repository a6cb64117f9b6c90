// Shared by the config commands: the configuration in force, its differences, and JSON forms.
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

// Reads the folder; on failure reports it and sets `code`.
std::optional<Folder> loadFolder(Context& context, const std::string& path, ExitCode& code);

// GET /v1/config; on failure reports it and sets `code`.
std::optional<config::StoredConfig> fetchCurrent(Context& context, ExitCode& code);

// Entries of GET /v1/config/history, newest first; empty when they cannot be read.
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

// Reports a set that the check refused: one line for each fault, or JSON.
ExitCode failCheck(Context& context, const config::ConfigErrors& errors);

// Daemons and data centres that a status answer shows below a revision, in words; empty: the revision is in force
// everywhere.
std::vector<std::string> missingRevision(const QJsonObject& status, base::Revision revision);

} // namespace lacewing::ctl
