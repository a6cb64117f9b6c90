// Messages between daemons as plain structs in one variant (docs/design.md, section 3).
//
// The structs carry no behaviour and no clock readings: times of two processes are not comparable, so a message states
// ages and durations in milliseconds. Unsigned values are at most 2^63-1, the range that both codecs represent.
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewing::codec {

// What a daemon states about itself. It is sent in a heartbeat and comes back in the reply to a heartbeat. Only the
// report in a reply is evidence of freshness: the receiver knows when it sent the request, while a heartbeat may have
// waited in a socket buffer during a pause of the receiver.
struct DaemonReport {
    // --- Identity ---
    base::DaemonId daemon;
    base::DataCentreId dataCentre;
    std::uint64_t incarnation = 0; // rises with each start of the daemon, e.g. milliseconds since the Unix epoch
    std::string peerAddress;       // "host:port" of the peer interface
    std::string gatewayAddress;    // "host:port" of the HTTP interface

    // --- Configuration ---
    base::Revision revision = 0;                // highest revision held; 0 means none
    bool isProvisional = false;                 // the revision came from peers only and is not confirmed
    std::optional<std::int64_t> storeReadAgeMs; // age of the last read of config/current, rounded up; absent: none
    bool hasStoreAccess = false;                // the last store call succeeded (circuit breaker closed)
    bool hasUnresolvedApply = false;            // a write of config/current was sent and its result is unknown

    // --- Slots and load ---
    std::uint64_t slotRecordVersion = 0;   // version of slots/<dc> in force at the daemon
    std::int64_t slotRecordReadAgeMs = -1; // age of the last read of slots/<dc>; -1 means never
    bool isLeaving = false;                // drains; accepts no new work
    std::uint32_t requestsInFlight = 0;
    std::uint32_t requestsQueued = 0;
    std::uint32_t slotsOwned = 0;
    std::uint32_t slotsInUse = 0;

    bool operator==(const DaemonReport&) const = default;
};

struct Heartbeat {
    DaemonReport report;
    bool operator==(const Heartbeat&) const = default;
};

struct HeartbeatReply {
    DaemonReport report;
    bool operator==(const HeartbeatReply&) const = default;
};

// State of one data centre as stated by its representative. (origin incarnation, sequence) orders entries of one data
// centre; a lower pair never replaces a higher one.
struct DigestEntry {
    base::DataCentreId dataCentre;
    base::DaemonId origin;         // representative that made the entry
    std::uint64_t originStart = 0; // incarnation of the origin
    std::uint64_t sequence = 0;    // rises with each change at the origin
    std::uint32_t membersAlive = 0;
    base::Revision lowestRevision = 0;
    std::int64_t greatestStoreAgeMs = -1; // -1 means that a member never read the store
    std::int64_t freeCpuMilli = 0;
    std::int64_t freeMemoryMb = 0;
    std::int64_t freeAccelerators = 0;
    std::uint32_t freeSlots = 0;
    std::string gatewayAddress; // "host:port" for forwarded urgent requests

    bool operator==(const DigestEntry&) const = default;
};

struct Digest {
    base::DaemonId sender;
    std::vector<DigestEntry> entries; // changes since the last digest that was answered
    bool operator==(const Digest&) const = default;
};

// Answer to Digest: the version that the receiver now holds for the data centre of the sender. A new representative
// whose incarnation is lower than that of the one before it learns from it that its entry did not count.
struct DigestReply {
    base::DaemonId sender;
    std::uint64_t originStart = 0;
    std::uint64_t sequence = 0;
    bool operator==(const DigestReply&) const = default;
};

// An accepted configuration; the fields of config/current.
struct ConfigPush {
    base::Revision revision = 0;
    std::string author;
    std::int64_t timeMs = 0; // milliseconds since the Unix epoch, when the revision was accepted
    std::string comment;
    std::string operation; // identity of the write
    std::map<std::string, std::string> files;
    bool operator==(const ConfigPush&) const = default;
};

struct ConfigPull {
    base::DaemonId sender;
    base::Revision knownRevision = 0;
    bool operator==(const ConfigPull&) const = default;
};

// Answer to ConfigPull. configuration is present when the answering daemon holds a revision above knownRevision.
struct ConfigPullReply {
    base::Revision revision = 0; // highest revision of the answering daemon
    std::optional<ConfigPush> configuration;
    bool operator==(const ConfigPullReply&) const = default;
};

// Request to borrow slots of an endpoint from their owner.
struct SlotLoan {
    base::DaemonId borrower;
    std::uint64_t incarnation = 0;
    std::uint64_t recordVersion = 0; // version of slots/<dc> at the borrower
    std::uint64_t loan = 0;          // identity of the request; a repeat gets the same answer
    base::EndpointId endpoint;
    std::uint32_t count = 0;
    std::int64_t leaseMs = 0; // requested length
    bool operator==(const SlotLoan&) const = default;
};

// The slots lent (empty: none). The borrower counts the lease from the moment it sent the request.
struct SlotLoanReply {
    base::DaemonId owner;
    std::uint64_t recordVersion = 0;
    std::uint64_t loan = 0;
    base::EndpointId endpoint;
    std::vector<std::uint32_t> slots; // slot numbers, from 0
    std::int64_t leaseMs = 0;
    bool operator==(const SlotLoanReply&) const = default;
};

struct SlotReturn {
    base::DaemonId borrower;
    std::uint64_t incarnation = 0;
    std::uint64_t loan = 0;
    base::EndpointId endpoint;
    std::vector<std::uint32_t> slots;
    bool operator==(const SlotReturn&) const = default;
};

struct EndpointSlots {
    base::EndpointId endpoint;
    std::vector<std::uint32_t> slots;
    bool operator==(const EndpointSlots&) const = default;
};

// States that the member stopped giving new requests to the slots that it lost with recordVersion. Lost slots that are
// not in stillBusy are idle. A member repeats the acknowledgement until stillBusy is empty.
struct SlotRecordAck {
    base::DaemonId daemon;
    std::uint64_t incarnation = 0;
    std::uint64_t recordVersion = 0;
    std::vector<EndpointSlots> stillBusy;
    bool operator==(const SlotRecordAck&) const = default;
};

// Planned stop: the daemon uses none of its slots any more and starts nothing in its shards.
struct Goodbye {
    base::DaemonId daemon;
    std::uint64_t incarnation = 0;
    std::vector<std::string> shards; // "<dc>/<n>", shards given up
    bool operator==(const Goodbye&) const = default;
};

enum class ShardOperation { Submit, Cancel, Status, List, Events };

// A call for a shard, sent to its owner. body is the JSON body of the HTTP call, checked by the receiver.
struct ShardForward {
    std::string shard; // "<dc>/<n>"
    ShardOperation operation = ShardOperation::Status;
    std::string job;     // job id; empty for List
    std::string request; // request id for logs
    std::string body;    // JSON text, empty when the operation has none
    std::uint64_t cursor = 0;
    std::int64_t waitMs = 0;
    std::uint32_t hops = 0; // at most 1
    bool operator==(const ShardForward&) const = default;
};

enum class Executed { No, Yes, Unknown };

struct ShardForwardReply {
    std::uint32_t status = 0; // HTTP status for the caller
    Executed executed = Executed::Unknown;
    std::optional<base::DaemonId> owner; // known owner when the receiver does not own the shard
    std::string body;                    // JSON text
    bool operator==(const ShardForwardReply&) const = default;
};

// Answer to a message that needs no content.
struct Ack {
    base::DaemonId daemon;
    std::uint64_t incarnation = 0;
    base::Revision revision = 0;
    bool operator==(const Ack&) const = default;
};

// Answer to a message that was not acted on. code is a reason code for metrics and logs.
struct Refusal {
    std::string code;
    std::string detail;
    bool operator==(const Refusal&) const = default;
};

using Message = std::variant<Heartbeat, HeartbeatReply, Digest, DigestReply, ConfigPush, ConfigPull, ConfigPullReply,
    SlotLoan, SlotLoanReply, SlotReturn, SlotRecordAck, Goodbye, ShardForward, ShardForwardReply, Ack, Refusal>;

// Name of the message on the wire and in metrics, e.g. "configPush".
std::string_view typeName(const Message& message);

} // namespace lacewing::codec
