// Translation between the slot structs of src/routing, the messages of src/codec and the value of `slots/<dc>`.
#pragma once

#include "codec/message.h"
#include "config/policy.h"
#include "routing/limits.h"
#include "routing/slots.h"

#include <optional>
#include <string>

namespace lacewing::daemon {

codec::SlotStatement toMessage(const routing::SlotAck& ack);
// The statement of the daemon that sent `report`.
routing::SlotAck toSlotAck(const codec::DaemonReport& report, const codec::SlotStatement& message);

codec::SlotLoan toMessage(const routing::LoanRequest& request);
routing::LoanRequest toLoanRequest(const codec::SlotLoan& message);

codec::SlotLoanReply toMessage(const routing::LoanReply& reply);
routing::LoanReply toLoanReply(const codec::SlotLoanReply& message);

codec::SlotReturn toMessage(const routing::LoanReturn& loan);
routing::LoanReturn toLoanReturn(const codec::SlotReturn& message);

// Value of `slots/<dc>`: {"version": n, "members": [{"daemon", "incarnation", "removingSince", "mayBeSole"}]}.
std::string encodeSlotRecord(const routing::SlotRecord& record);
// Nothing when the text is not such a value.
std::optional<routing::SlotRecord> decodeSlotRecord(const std::string& text);

// Limits of the routing module from the operators' policy.
routing::Limits toLimits(const config::Policy& policy);

} // namespace lacewing::daemon
