// Field tables of the messages: one list of fields for each struct serves the writer and the reader of both codecs.
#pragma once

#include "base/names.h"
#include "codec/message.h"

namespace lacewing::codec {

// visitFields(visitor, message) calls visitor(name, member) for each field. The message is const for the writer.
template <typename M, typename T>
concept SameAs = std::is_same_v<std::remove_const_t<M>, T>;

template <typename V, SameAs<DaemonReport> M> void visitFields(V& visitor, M& m)
{
    visitor("daemon", m.daemon);
    visitor("dataCentre", m.dataCentre);
    visitor("incarnation", m.incarnation);
    visitor("peerAddress", m.peerAddress);
    visitor("gatewayAddress", m.gatewayAddress);
    visitor("revision", m.revision);
    visitor("isProvisional", m.isProvisional);
    visitor("storeReadAgeMs", m.storeReadAgeMs);
    visitor("hasStoreAccess", m.hasStoreAccess);
    visitor("hasUnresolvedApply", m.hasUnresolvedApply);
    visitor("isLeaving", m.isLeaving);
}

template <typename V, SameAs<Heartbeat> M> void visitFields(V& visitor, M& m)
{
    visitor("daemon", m.daemon);
    visitor("dataCentre", m.dataCentre);
    visitor("incarnation", m.incarnation);
    visitor("peerAddress", m.peerAddress);
}

template <typename V, SameAs<HeartbeatReply> M> void visitFields(V& visitor, M& m)
{
    visitor("report", m.report);
    visitor("slots", m.slots);
}

template <typename V, SameAs<DigestEntry> M> void visitFields(V& visitor, M& m)
{
    visitor("dataCentre", m.dataCentre);
    visitor("origin", m.origin);
    visitor("originStart", m.originStart);
    visitor("sequence", m.sequence);
    visitor("membersAlive", m.membersAlive);
    visitor("lowestRevision", m.lowestRevision);
    visitor("greatestStoreAgeMs", m.greatestStoreAgeMs);
    visitor("freeCpuMilli", m.freeCpuMilli);
    visitor("freeMemoryMb", m.freeMemoryMb);
    visitor("freeAccelerators", m.freeAccelerators);
    visitor("freeSlots", m.freeSlots);
    visitor("gatewayAddress", m.gatewayAddress);
}

template <typename V, SameAs<Digest> M> void visitFields(V& visitor, M& m)
{
    visitor("sender", m.sender);
    visitor("isRelayed", m.isRelayed);
    visitor("entries", m.entries);
}

template <typename V, SameAs<DigestReply> M> void visitFields(V& visitor, M& m)
{
    visitor("sender", m.sender);
    visitor("originStart", m.originStart);
    visitor("sequence", m.sequence);
}

template <typename V, SameAs<ConfigPush> M> void visitFields(V& visitor, M& m)
{
    visitor("revision", m.revision);
    visitor("author", m.author);
    visitor("timeMs", m.timeMs);
    visitor("comment", m.comment);
    visitor("operation", m.operation);
    visitor("files", m.files);
}

template <typename V, SameAs<ConfigPull> M> void visitFields(V& visitor, M& m)
{
    visitor("sender", m.sender);
    visitor("knownRevision", m.knownRevision);
}

template <typename V, SameAs<ConfigPullReply> M> void visitFields(V& visitor, M& m)
{
    visitor("revision", m.revision);
    visitor("configuration", m.configuration);
}

template <typename V, SameAs<EndpointSlots> M> void visitFields(V& visitor, M& m)
{
    visitor("endpoint", m.endpoint);
    visitor("slots", m.slots);
}

template <typename V, SameAs<SlotStatement> M> void visitFields(V& visitor, M& m)
{
    visitor("recordVersion", m.recordVersion);
    visitor("busy", m.busy);
    visitor("silent", m.silent);
}

template <typename V, SameAs<SlotLoan> M> void visitFields(V& visitor, M& m)
{
    visitor("borrower", m.borrower);
    visitor("incarnation", m.incarnation);
    visitor("request", m.request);
    visitor("recordVersion", m.recordVersion);
    visitor("endpoint", m.endpoint);
    visitor("count", m.count);
}

template <typename V, SameAs<SlotLoanReply> M> void visitFields(V& visitor, M& m)
{
    visitor("owner", m.owner);
    visitor("ownerIncarnation", m.ownerIncarnation);
    visitor("request", m.request);
    visitor("recordVersion", m.recordVersion);
    visitor("loan", m.loan);
    visitor("endpoint", m.endpoint);
    visitor("slots", m.slots);
    visitor("leaseMs", m.leaseMs);
}

template <typename V, SameAs<SlotReturn> M> void visitFields(V& visitor, M& m)
{
    visitor("owner", m.owner);
    visitor("ownerIncarnation", m.ownerIncarnation);
    visitor("loan", m.loan);
    visitor("endpoint", m.endpoint);
}

template <typename V, SameAs<Goodbye> M> void visitFields(V& visitor, M& m)
{
    visitor("daemon", m.daemon);
    visitor("incarnation", m.incarnation);
    visitor("shards", m.shards);
}

template <typename V, SameAs<TransferOffer> M> void visitFields(V& visitor, M& m)
{
    visitor("source", m.source);
    visitor("target", m.target);
    visitor("job", m.job);
    visitor("number", m.number);
    visitor("settledBelow", m.settledBelow);
}

template <typename V, SameAs<TransferAccept> M> void visitFields(V& visitor, M& m)
{
    visitor("source", m.source);
    visitor("target", m.target);
    visitor("job", m.job);
    visitor("number", m.number);
}

template <typename V, SameAs<Ack> M> void visitFields(V& visitor, M& m)
{
    visitor("daemon", m.daemon);
    visitor("incarnation", m.incarnation);
    visitor("revision", m.revision);
}

template <typename V, SameAs<Refusal> M> void visitFields(V& visitor, M& m)
{
    visitor("code", m.code);
    visitor("detail", m.detail);
}

} // namespace lacewing::codec
