// The operators' folder of configuration files on disk.
//
// The hidden file `.lacewing-revision` holds the revision that the folder was written from or last applied as. `config
// apply` proposes the folder as a change of that revision, so that a change made by others since then is a conflict and
// not silently reversed.
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
    std::vector<std::string> ignored;       // names without `.json`, subfolders; hidden files are not listed
    std::optional<base::Revision> revision; // from .lacewing-revision
};

struct FolderError {
    enum class Code { NotFound, Unreadable, Unwritable };

    Code code = Code::NotFound;
    std::string detail;
};

// Reads all files that end in `.json`. A file above the size limit of a merge is refused before it is read.
base::Result<Folder, FolderError> readFolder(const std::string& path);

// Writes the files and the revision; creates the folder. A folder that holds other `.json` files is refused, because
// they would become part of the configuration.
base::Result<void, FolderError> writeFolder(
    const std::string& path, const config::Files& files, base::Revision revision);

// Writes .lacewing-revision.
base::Result<void, FolderError> writeRevision(const std::string& path, base::Revision revision);

} // namespace lacewing::ctl
