// Functions shared by gateway.cpp (events) and gateway_attempts.cpp (attempts and replies). Not for other modules.
#pragma once

#include "routing/gateway.h"

namespace lacewing::routing {

// Sends the request to an endpoint with a free slot. False when there is none.
bool trySend(Gateway& gateway, GatewayRequest& request, bool isHedge, base::TimePoint now, Effects& effects);
// Sends the request to a daemon of another data centre that has free slots, when its distance is at most maxDistance.
bool tryForward(
    Gateway& gateway, GatewayRequest& request, base::Duration maxDistance, base::TimePoint now, Effects& effects);
// Sends waiting requests while slots are free; asks for a loan when requests remain.
void dispatch(Gateway& gateway, base::TimePoint now, Effects& effects);
// Gives the one reply, cancels attempts in flight, and forgets the request when none is in flight.
void replyProblem(Gateway& gateway, RequestId id, Reason reason, Effects& effects);
void replyAnswer(Gateway& gateway, RequestId id, AttemptId attempt, Effects& effects);
void cancelAttempts(GatewayRequest& request, Effects& effects);
void forgetIfEnded(Gateway& gateway, RequestId id);
void setTimer(Gateway& gateway, GatewayRequest& request, base::TimePoint at);
void clearTimer(Gateway& gateway, const GatewayRequest& request);
void updateCapacity(Gateway& gateway, base::TimePoint now);
void recordLatency(Gateway& gateway, base::Duration latency);
bool isForwardAllowed(const Gateway& gateway, const GatewayRequest& request);
void proposeSlotRecord(Gateway& gateway, base::TimePoint now, Effects& effects);

} // namespace lacewing::routing
