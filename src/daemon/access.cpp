// Decisions on keys, on jobs of accounts, and the counts of refusals.
#include "daemon/access.h"

#include "platform/client_accounts.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

    const QByteArray authorizationHeader = "Authorization";
    const QByteArray bearerScheme = "Bearer";

    struct Token {
        RefusalCause fault = RefusalCause::None;
        QByteArray key; // empty with a fault
    };

    Token tokenOf(const http::Headers& headers)
    {
        const http::Header* found = nullptr;
        for (const http::Header& header : headers) {
            if (header.name.compare(authorizationHeader, Qt::CaseInsensitive) != 0)
                continue;
            if (found)
                return { RefusalCause::SeveralHeaders, {} };
            found = &header;
        }
        if (!found)
            return { RefusalCause::NoKey, {} };
        const QByteArray value = found->value.trimmed();
        const qsizetype space = value.indexOf(' ');
        const QByteArray scheme = space < 0 ? value : value.left(space);
        if (scheme.compare(bearerScheme, Qt::CaseInsensitive) != 0)
            return { value.isEmpty() ? RefusalCause::NoKey : RefusalCause::OtherScheme, {} };
        if (space < 0)
            return { RefusalCause::NoToken, {} };
        return { RefusalCause::None, value.mid(space).trimmed() };
    }

} // namespace

scheduler::Millis keyedMaxAgeMs(const PlatformBounds& bounds)
{
    return bounds.revocationMs > 0 ? std::min(bounds.revocationMs, bounds.configurationMs) : bounds.configurationMs;
}

AccessBasis basisFor(scheduler::Millis ageMs, const PlatformBounds& bounds)
{
    const bool isCurrent = ageMs >= 0 && ageMs <= keyedMaxAgeMs(bounds);
    return { isCurrent, isCurrent || bounds.revocationMs == 0 };
}

bool needsKey(const scheduler::Queue& queue, const scheduler::Configuration& configuration)
{
    return configuration.hasAccounts && !queue.isPublic;
}

Access decideAccess(const http::Headers& headers, const scheduler::Queue& queue,
    const scheduler::Configuration& configuration, const AccessBasis& basis)
{
    if (!needsKey(queue, configuration))
        return {};
    const Token token = tokenOf(headers);
    RefusalCause fault = token.fault;
    std::string account;
    if (fault == RefusalCause::None) {
        const auto known = configuration.accountByKey.find(platform::digestOf(token.key));
        if (known == configuration.accountByKey.end())
            fault = RefusalCause::UnknownKey;
        else
            account = known->second;
    }
    const bool isSettled = fault == RefusalCause::None ? basis.mayServeKnown : basis.isCurrent;
    if (!isSettled)
        return { 503, RefusalCause::ConfigurationOutdated, account };
    if (fault != RefusalCause::None)
        return { 401, fault, {} };
    return { 200, RefusalCause::None, account };
}

bool mayUseJob(const std::string& account, const std::string& jobAccount)
{
    return jobAccount.empty() || jobAccount == account;
}

std::string gangOverCap(const scheduler::JobRequest& job, const scheduler::Capacity& cap)
{
    const auto isOver
        = [](int limit, int count, int each) { return limit > 0 && static_cast<std::int64_t>(count) * each > limit; };
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const scheduler::Step& step = job.steps[i];
        if (!step.isGang || step.count < 2)
            continue;
        if (isOver(cap.cpuMillicores, step.count, step.cpuMillicores) || isOver(cap.memoryMb, step.count, step.memoryMb)
            || isOver(cap.gpus, step.count, step.gpus))
            return "step " + std::to_string(i) + " is a gang that needs more than the cap of its account";
    }
    return {};
}

RefusalCause causeOfStatus(int status)
{
    switch (status) {
    case 400:
        return RefusalCause::Malformed;
    case 429:
        return RefusalCause::TooMany;
    case 503:
        return RefusalCause::Unavailable;
    case 504:
        return RefusalCause::UnknownOutcome;
    default:
        return RefusalCause::None;
    }
}

std::string countRefusal(AccountRefusals& refusals, const std::string& account, RefusalCause cause)
{
    const bool hasRoom = refusals.byAccount.size() < maxCountedAccounts || refusals.byAccount.count(account) > 0;
    const std::string& name = hasRoom || account.empty() ? account : otherAccounts;
    ++refusals.byAccount[name][cause];
    return name;
}

} // namespace lacewing::daemon
