// Field by field translations; slot masks become lists of slot numbers in messages.
#include "daemon/slot_messages.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr std::uint32_t maskBits = 64;
    constexpr std::size_t maximumRecordBytes = 100'000;

    std::vector<std::uint32_t> toNumbers(routing::SlotMask mask)
    {
        std::vector<std::uint32_t> numbers;
        for (std::uint32_t slot = 0; slot < maskBits; ++slot) {
            if ((mask >> slot) & 1U)
                numbers.push_back(slot);
        }
        return numbers;
    }

    routing::SlotMask toMask(const std::vector<std::uint32_t>& numbers)
    {
        routing::SlotMask mask = 0;
        for (const std::uint32_t slot : numbers) {
            if (slot < maskBits)
                mask |= routing::SlotMask(1) << slot;
        }
        return mask;
    }

} // namespace

codec::SlotStatement toMessage(const routing::SlotAck& ack)
{
    codec::SlotStatement message;
    message.recordVersion = ack.version;
    message.silent = ack.silent;
    for (const routing::EndpointMask& busy : ack.busy)
        message.busy.push_back({ busy.endpoint, toNumbers(busy.slots) });
    return message;
}

routing::SlotAck toSlotAck(const codec::DaemonReport& report, const codec::SlotStatement& message)
{
    routing::SlotAck ack;
    ack.daemon = report.daemon;
    ack.incarnation = report.incarnation;
    ack.version = message.recordVersion;
    ack.silent = message.silent;
    for (const codec::EndpointSlots& busy : message.busy)
        ack.busy.push_back({ busy.endpoint, toMask(busy.slots) });
    return ack;
}

codec::SlotLoan toMessage(const routing::LoanRequest& request)
{
    codec::SlotLoan message;
    message.borrower = request.borrower;
    message.incarnation = request.incarnation;
    message.recordVersion = request.version;
    message.request = request.request;
    message.endpoint = request.endpoint;
    message.count = static_cast<std::uint32_t>(request.count);
    return message;
}

routing::LoanRequest toLoanRequest(const codec::SlotLoan& message)
{
    routing::LoanRequest request;
    request.borrower = message.borrower;
    request.incarnation = message.incarnation;
    request.request = message.request;
    request.version = message.recordVersion;
    request.endpoint = message.endpoint;
    request.count = static_cast<int>(std::min<std::uint32_t>(message.count, maskBits));
    return request;
}

codec::SlotLoanReply toMessage(const routing::LoanReply& reply)
{
    codec::SlotLoanReply message;
    message.owner = reply.owner;
    message.ownerIncarnation = reply.ownerIncarnation;
    message.recordVersion = reply.version;
    message.request = reply.request;
    message.loan = reply.loan;
    message.endpoint = reply.endpoint;
    message.slots = toNumbers(reply.slots);
    message.leaseMs = reply.leaseMs;
    return message;
}

routing::LoanReply toLoanReply(const codec::SlotLoanReply& message)
{
    routing::LoanReply reply;
    reply.owner = message.owner;
    reply.ownerIncarnation = message.ownerIncarnation;
    reply.request = message.request;
    reply.version = message.recordVersion;
    reply.loan = message.loan;
    reply.endpoint = message.endpoint;
    reply.slots = toMask(message.slots);
    reply.leaseMs = message.leaseMs;
    return reply;
}

codec::SlotReturn toMessage(const routing::LoanReturn& loan)
{
    codec::SlotReturn message;
    message.owner = loan.owner;
    message.ownerIncarnation = loan.ownerIncarnation;
    message.loan = loan.loan;
    message.endpoint = loan.endpoint;
    return message;
}

routing::LoanReturn toLoanReturn(const codec::SlotReturn& message)
{
    routing::LoanReturn loan;
    loan.owner = message.owner;
    loan.ownerIncarnation = message.ownerIncarnation;
    loan.loan = message.loan;
    loan.endpoint = message.endpoint;
    return loan;
}

std::string encodeSlotRecord(const routing::SlotRecord& record)
{
    QJsonArray members;
    for (const routing::RecordMember& member : record.members) {
        members.append(QJsonObject { { "daemon", QString::fromStdString(member.daemon.value) },
            { "incarnation", static_cast<qint64>(member.incarnation) },
            { "removingSince", static_cast<qint64>(member.removingSince) }, { "mayBeSole", member.mayBeSole } });
    }
    const QJsonObject object { { "version", static_cast<qint64>(record.version) }, { "members", members } };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<routing::SlotRecord> decodeSlotRecord(const std::string& text)
{
    if (text.size() > maximumRecordBytes)
        return std::nullopt;
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
    routing::SlotRecord record;
    record.version = static_cast<std::uint64_t>(std::max<qint64>(object["version"].toInteger(0), 0));
    if (record.version == 0 || !object["members"].isArray())
        return std::nullopt;
    const QJsonArray members = object["members"].toArray();
    for (const QJsonValue member : members) {
        const std::string daemon = member["daemon"].toString().toStdString();
        const qint64 incarnation = member["incarnation"].toInteger(-1);
        const qint64 removingSince = member["removingSince"].toInteger(-1);
        if (daemon.empty() || incarnation < 0 || removingSince < 0)
            return std::nullopt;
        // Without the mark a cut-off member that serves alone could be removed while it uses its slots.
        if (!member["mayBeSole"].isBool())
            return std::nullopt;
        routing::RecordMember entry;
        entry.daemon = { daemon };
        entry.incarnation = static_cast<std::uint64_t>(incarnation);
        entry.removingSince = static_cast<std::uint64_t>(removingSince);
        entry.mayBeSole = member["mayBeSole"].toBool();
        record.members.push_back(std::move(entry));
    }
    return record;
}

routing::Limits toLimits(const config::Policy& policy)
{
    routing::Limits limits;
    const config::RoutingPolicy& routing = policy.routing;
    limits.router.sampleCount = routing.samples;
    limits.router.failuresToEject = routing.consecutiveFailures;
    limits.router.latencyFactorToEject = routing.latencyFactor;
    limits.router.ejectionMs = base::toMilliseconds(routing.ejection);
    limits.router.ejectionMaxMs = base::toMilliseconds(routing.maxEjection);
    limits.router.ejectedShareMax = routing.maxEjectedShare;
    limits.router.panicShare = routing.panicShare;
    limits.router.slowStartMs = base::toMilliseconds(routing.slowStart);
    limits.request.retryShare = routing.retryBudget;
    limits.request.hedgeShare = routing.hedgeBudget;
    // One queue serves all services of a daemon; it is as long as the longest that a service allows.
    for (const auto& [name, service] : policy.services) {
        limits.queue.urgentMax = std::max(limits.queue.urgentMax, service.urgentQueueLength);
        limits.queue.slowMax = std::max(limits.queue.slowMax, service.slowQueueLength);
    }
    return limits;
}

} // namespace lacewing::daemon
