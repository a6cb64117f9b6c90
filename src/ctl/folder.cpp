// Reads and writes a local folder of configuration files.
#include "ctl/folder.h"

#include <QDir>
#include <QFile>
#include <QFileInfo>
#include <QSaveFile>

namespace lacewing::ctl {

namespace {

    const QString revisionFile = ".lacewing-revision";

    FolderError errorOf(FolderError::Code code, const QString& path, const QString& cause)
    {
        return { code, (path + ": " + cause).toStdString() };
    }

    base::Result<void, FolderError> writeFile(const QString& path, const QByteArray& content)
    {
        QSaveFile file(path);
        if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size() || !file.commit())
            return errorOf(FolderError::Code::Unwritable, path, file.errorString());
        return base::success();
    }

    base::Result<std::string, FolderError> readFile(const QFileInfo& info)
    {
        QFile file(info.filePath());
        const qint64 limit = static_cast<qint64>(config::MergeLimits().fileBytes);
        if (!file.open(QIODevice::ReadOnly))
            return errorOf(FolderError::Code::Unreadable, info.filePath(), file.errorString());
        // One byte above the limit is enough for the merge to report the file as too large.
        return file.read(limit + 1).toStdString();
    }

} // namespace

base::Result<Folder, FolderError> readFolder(const std::string& path)
{
    const QDir dir(QString::fromStdString(path));
    if (!dir.exists())
        return FolderError { FolderError::Code::NotFound, path + ": no such folder" };
    Folder folder;
    const auto entries = dir.entryInfoList(QDir::Files | QDir::Dirs | QDir::NoDotAndDotDot, QDir::Name);
    for (const QFileInfo& info : entries) {
        const std::string name = info.fileName().toStdString();
        if (info.isDir() || !info.fileName().endsWith(".json")) {
            folder.ignored.push_back(name);
            continue;
        }
        auto text = readFile(info);
        if (text.has_error())
            return text.error();
        folder.files[name] = std::move(text).value();
    }
    QFile file(dir.filePath(revisionFile));
    if (file.open(QIODevice::ReadOnly)) {
        bool isNumber = false;
        const qulonglong revision = file.read(32).trimmed().toULongLong(&isNumber);
        if (!isNumber)
            return errorOf(FolderError::Code::Unreadable, file.fileName(), "not a revision number");
        folder.revision = revision;
    }
    return folder;
}

base::Result<void, FolderError> writeFolder(
    const std::string& path, const config::Files& files, base::Revision revision)
{
    QDir dir(QString::fromStdString(path));
    if (!dir.exists() && !QDir().mkpath(dir.path()))
        return errorOf(FolderError::Code::Unwritable, dir.path(), "the folder cannot be created");
    const QStringList existing = dir.entryList({ "*.json" }, QDir::Files);
    for (const QString& name : existing) {
        if (!files.contains(name.toStdString()))
            return errorOf(FolderError::Code::Unwritable, dir.filePath(name),
                "the folder contains a .json file that is not part of the configuration");
    }
    for (const auto& [name, text] : files) {
        // The names come from a daemon. A name with a path could write outside the folder.
        if (!config::isFileName(name))
            return errorOf(FolderError::Code::Unwritable, QString::fromStdString(name), "file name is not accepted");
        auto written = writeFile(dir.filePath(QString::fromStdString(name)), QByteArray::fromStdString(text));
        if (written.has_error())
            return written;
    }
    return writeRevision(path, revision);
}

base::Result<void, FolderError> writeRevision(const std::string& path, base::Revision revision)
{
    const QDir dir(QString::fromStdString(path));
    return writeFile(dir.filePath(revisionFile), QByteArray::number(static_cast<qulonglong>(revision)) + "\n");
}

} // namespace lacewing::ctl
