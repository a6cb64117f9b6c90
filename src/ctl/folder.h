// A local folder of configuration files that an operator edits and applies.
//
// The hidden file `.lacewing-revision` holds the revision that the folder was exported from or last applied as. `config
// apply` proposes the folder as a change based on that revision, so that a later change by another operator causes a
// conflict instead of being silently reverted.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "config/merge.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing::ctl {

struct Folder {
    config::Files files;
    std::vector<std::string> ignored; // files without the suffix `.json`, and subfolders; hidden files are not listed
    std::optional<base::Revision> revision; // from .lacewing-revision; empty without that file
};

struct FolderError {
    enum class Code { NotFound, Unreadable, Unwritable };

    Code code = Code::NotFound;
    std::string detail;
};

// Reads all files that end in `.json`. At most one byte more than the size limit of a merge is read of each file; the
// merge then refuses the file as too large.
base::Result<Folder, FolderError> readFolder(const std::string& path);

// Writes the files and the revision; creates the folder if it does not exist. A folder that contains any other `.json`
// file is refused, because `config apply` would take that file as part of the configuration.
base::Result<void, FolderError> writeFolder(
    const std::string& path, const config::Files& files, base::Revision revision);

// Writes .lacewing-revision.
base::Result<void, FolderError> writeRevision(const std::string& path, base::Revision revision);

} // namespace lacewing::ctl
