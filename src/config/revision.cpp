// Checks of proposals, and the revision that is active in a daemon.
#include "config/revision.h"

#include "base/hash.h"
#include "base/names.h"

#include <QDateTime>
#include <algorithm>

namespace lacewing::config {

namespace {

    constexpr base::EnumNames<Accepted::Outcome, 3> acceptedNames { {
        { Accepted::Outcome::New, "new" },
        { Accepted::Outcome::Repeated, "repeated" },
        { Accepted::Outcome::Unchanged, "unchanged" },
    } };

    constexpr base::EnumNames<ActiveConfig::Outcome, 6> activeConfigNames { {
        { ActiveConfig::Outcome::Adopted, "adopted" },
        { ActiveConfig::Outcome::Confirmed, "confirmed" },
        { ActiveConfig::Outcome::Same, "same" },
        { ActiveConfig::Outcome::Older, "older" },
        { ActiveConfig::Outcome::Mismatch, "mismatch" },
        { ActiveConfig::Outcome::Invalid, "invalid" },
    } };

    // Bounds of the metadata texts, which are written to logs and the history.
    constexpr std::size_t maximumAuthorBytes = 200;
    constexpr std::size_t maximumCommentBytes = 2000;
    constexpr std::size_t maximumOperationBytes = 100;

    void checkText(ConfigErrors& errors, const char* key, const std::string& text, bool isRequired, std::size_t bytes)
    {
        if ((isRequired && text.empty()) || text.size() > bytes) {
            errors.push_back({ ConfigError::Code::BadValue, {}, 0, key, {},
                std::string(isRequired ? "1.." : "0..") + std::to_string(bytes) + " bytes",
                text.empty() ? "value is missing" : "value is too long" });
        }
    }

    ConfigErrors checkMetadata(const Proposal& proposal)
    {
        ConfigErrors errors;
        checkText(errors, "author", proposal.author, true, maximumAuthorBytes);
        checkText(errors, "comment", proposal.comment, false, maximumCommentBytes);
        checkText(errors, "operation", proposal.operation, true, maximumOperationBytes);
        return errors;
    }

    const RecentOperation* findOperation(const StoredConfig& current, const std::string& operation)
    {
        const auto entry = std::find_if(current.recent.begin(), current.recent.end(),
            [&](const RecentOperation& candidate) { return candidate.operation == operation; });
        return entry == current.recent.end() ? nullptr : &*entry;
    }

    StoredConfig nextRevision(const StoredConfig& current, const Proposal& proposal, std::int64_t nowMs)
    {
        StoredConfig next;
        next.revision = current.revision + 1;
        next.author = proposal.author;
        next.timeMs = nowMs;
        next.comment = proposal.comment;
        next.operation = proposal.operation;
        next.files = proposal.files;
        next.recent = current.recent;
        next.recent.push_back({ proposal.operation, next.revision, filesHash(proposal.files) });
        if (next.recent.size() > maximumRecentOperations)
            next.recent.erase(next.recent.begin(), next.recent.end() - maximumRecentOperations);
        return next;
    }

} // namespace

std::string_view nameOf(Accepted::Outcome outcome) { return base::nameOf(acceptedNames, outcome); }

std::string_view nameOf(ActiveConfig::Outcome outcome) { return base::nameOf(activeConfigNames, outcome); }

std::uint64_t filesHash(const Files& files)
{
    std::uint64_t hash = files.size();
    for (const auto& [name, text] : files)
        hash = base::stableHash(text, base::stableHash(name, hash));
    return hash;
}

base::Result<Policy, ConfigErrors> checkProposal(const Files& files)
{
    auto policy = parseFiles(files);
    if (policy.has_error())
        return policy;
    // Upper bound of the metadata and the operation list that `decide` can add to the files.
    StoredConfig largest;
    largest.author.assign(maximumAuthorBytes, 'x');
    largest.comment.assign(maximumCommentBytes, 'x');
    largest.operation.assign(maximumOperationBytes, 'x');
    largest.files = files;
    largest.recent.assign(maximumRecentOperations, { largest.operation, 0, 0 });
    const auto encoded = encode(largest);
    if (encoded.has_error())
        return ConfigErrors { encoded.error() };
    return policy;
}

Decision decide(const StoredConfig& current, const Proposal& proposal, std::int64_t nowMs)
{
    ConfigErrors errors = checkMetadata(proposal);
    if (!errors.empty())
        return Refused { std::move(errors) };
    if (const RecentOperation* known = findOperation(current, proposal.operation)) {
        if (known->filesHash == filesHash(proposal.files))
            return Accepted { Accepted::Outcome::Repeated, known->revision, current };
        return Refused { { { ConfigError::Code::Contradiction, {}, 0, "operation", proposal.operation, {},
            "this operation identity was used for other files in revision " + std::to_string(known->revision) } } };
    }
    const bool isUnchanged = current.revision > 0 && current.files == proposal.files;
    if (isUnchanged)
        return Accepted { Accepted::Outcome::Unchanged, current.revision, current };
    if (proposal.expectRevision != current.revision)
        return Conflict { proposal.expectRevision, current.revision, current.author, current.timeMs, current.comment };
    const auto policy = checkProposal(proposal.files);
    if (policy.has_error())
        return Refused { policy.error() };
    return Accepted { Accepted::Outcome::New, current.revision + 1, nextRevision(current, proposal, nowMs) };
}

std::string describe(const Conflict& conflict)
{
    if (conflict.current < conflict.expected) {
        return "the store holds revision " + std::to_string(conflict.current) + ", you saw the later revision "
            + std::to_string(conflict.expected);
    }
    const std::string time
        = QDateTime::fromMSecsSinceEpoch(conflict.timeMs, Qt::UTC).toString(Qt::ISODate).toStdString();
    std::string text = conflict.author + " changed the configuration to revision " + std::to_string(conflict.current)
        + " at " + time;
    if (!conflict.comment.empty())
        text += " (\"" + conflict.comment + "\")";
    return text + "; you saw revision " + std::to_string(conflict.expected);
}

ActiveConfig::Outcome ActiveConfig::offer(const StoredConfig& stored, Source source)
{
    if (stored.revision == 0 || stored.revision < m_stored.revision)
        return Outcome::Older;
    if (stored.revision == m_stored.revision && m_policy != nullptr) {
        const bool isSameContent = stored.files == m_stored.files;
        if (isSameContent && (source == Source::Peer || m_isConfirmed))
            return Outcome::Same;
        if (isSameContent) {
            confirm(stored.revision);
            return m_isConfirmed ? Outcome::Confirmed : Outcome::Same;
        }
        if (m_isConfirmed || source == Source::Peer)
            return Outcome::Mismatch;
    }
    auto policy = parseFiles(stored.files, UnknownKeys::Ignore);
    if (policy.has_error()) {
        m_highestInvalid = std::max(m_highestInvalid, stored.revision);
        m_isConfirmed = false;
        return Outcome::Invalid;
    }
    const bool isReplacement = stored.revision == m_stored.revision && m_policy != nullptr;
    m_policy = std::make_shared<const Policy>(std::move(policy).value());
    m_stored = stored;
    if (m_highestInvalid < m_stored.revision)
        m_isConfirmed = m_isConfirmed || source == Source::Store;
    return isReplacement ? Outcome::Mismatch : Outcome::Adopted;
}

void ActiveConfig::confirm(base::Revision revision)
{
    if (isReady() && revision == m_stored.revision && m_highestInvalid < revision)
        m_isConfirmed = true;
}

} // namespace lacewing::config
