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

    // --- State ---
    bool isLeaving = false; // drains; accepts no new work

    bool operator==(const DaemonReport&) const = default;
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
    bool isRelayed = false;           // passed on within the receiver's data centre; not passed on again
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

// Slot numbers of one endpoint, from 0 to 63, in ascending order.
struct EndpointSlots {
    base::EndpointId endpoint;
    std::vector<std::uint32_t> slots;
    bool operator==(const EndpointSlots&) const = default;
};

// Acknowledgement of a version of slots/<dc> (routing::SlotAck) by the daemon whose report it accompanies: it gives no
// new request to the slots that it does not own at this version. Those of them that are not in `busy` are idle.
struct SlotStatement {
    std::uint64_t recordVersion = 0;
    std::vector<EndpointSlots> busy;
    std::vector<base::DaemonId> silent; // members that the daemon has not heard
    bool operator==(const SlotStatement&) const = default;
};

// Asks for a report. It states only who asks, because a statement in a request is no evidence (see DaemonReport), and a
// full report in both directions would not fit into the 2 KB/s that a daemon may spend on control.
struct Heartbeat {
    base::DaemonId daemon;
    base::DataCentreId dataCentre;
    std::uint64_t incarnation = 0;
    std::string peerAddress; // where the asking daemon can be asked in turn
    bool operator==(const Heartbeat&) const = default;
};

struct HeartbeatReply {
    DaemonReport report;
    std::optional<SlotStatement> slots; // absent while the sender has no record
    bool operator==(const HeartbeatReply&) const = default;
};

// Request to borrow slots of an endpoint from their owner.
struct SlotLoan {
    base::DaemonId borrower;
    std::uint64_t incarnation = 0;
    std::uint64_t request = 0;       // unique for borrower and incarnation
    std::uint64_t recordVersion = 0; // version of slots/<dc> in force at the borrower
    base::EndpointId endpoint;
    std::uint32_t count = 0;
    bool operator==(const SlotLoan&) const = default;
};

// The slots lent (empty: refused). The borrower counts the lease from the moment it sent the request.
struct SlotLoanReply {
    base::DaemonId owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t request = 0;
    std::uint64_t recordVersion = 0; // in force at the owner
    std::uint64_t loan = 0;          // unique for owner and incarnation
    base::EndpointId endpoint;
    std::vector<std::uint32_t> slots;
    std::int64_t leaseMs = 0;
    bool operator==(const SlotLoanReply&) const = default;
};

struct SlotReturn {
    base::DaemonId owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t loan = 0;
    base::EndpointId endpoint;
    bool operator==(const SlotReturn&) const = default;
};

// Planned stop: the daemon uses none of its slots any more and starts nothing in its shards.
struct Goodbye {
    base::DaemonId daemon;
    std::uint64_t incarnation = 0;
    std::vector<std::string> shards; // "<dc>/<n>", shards given up
    bool operator==(const Goodbye&) const = default;
};

// Step 2 of a transfer of a job between shards, to the possible owners of the target shard. Repeated until accepted.
struct TransferOffer {
    std::string source; // key of the shard
    std::string target;
    std::string job; // JSON text of a shard value that holds only this job
    std::uint64_t number = 0;
    std::uint64_t settledBelow = 0; // lowest number that the source has not removed yet
    bool operator==(const TransferOffer&) const = default;
};

// The target has made the transfer durable.
struct TransferAccept {
    std::string source;
    std::string target;
    base::JobId job;
    std::uint64_t number = 0;
    bool operator==(const TransferAccept&) const = default;
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
    SlotLoan, SlotLoanReply, SlotReturn, Goodbye, TransferOffer, TransferAccept, Ack, Refusal>;

// Name of the message on the wire and in metrics, e.g. "configPush".
std::string_view typeName(const Message& message);

} // namespace lacewing::codec
