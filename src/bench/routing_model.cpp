// Platform, clients and event loop of the model.
#include "bench/routing_model_state.h"

#include <new>

namespace lacewing::bench {

namespace {

    using namespace routing;
    using namespace routingModel;

    // --- Platform ---

    std::vector<EndpointInfo> endpointList(const Model& model)
    {
        std::vector<EndpointInfo> list;
        for (int index = 0; index < model.input.deployment.endpoints; ++index) {
            EndpointInfo info;
            info.id = endpointName(index);
            info.dataCentre = dataCentreName(centreOfEndpoint(model, index));
            info.slots = model.input.deployment.slots;
            const bool isLeaving = model.isOut && centreOfEndpoint(model, index) == 0;
            info.status = isLeaving ? EndpointStatus::Leaving : EndpointStatus::Live;
            list.push_back(std::move(info));
        }
        return list;
    }

    // Single home: the home instance of an endpoint owns all its slots.
    void assignHomes(Model& model)
    {
        for (std::size_t index = 0; index < model.entries.size(); ++index) {
            Entry& entry = model.entries[index];
            for (auto& [endpoint, slots] : entry.gateway.slots.endpoints) {
                const bool isHome = homeOf(model, endpoint, entry.dataCentre) == static_cast<int>(index);
                slots.owned = isHome ? (SlotMask { 1 } << slots.slots) - 1 : 0;
                slots.granted = slots.owned;
            }
        }
    }

    void shareRecord(Model& model)
    {
        for (int centre = 0; centre < model.input.deployment.dataCentres; ++centre) {
            SlotRecord record;
            record.version = ++model.versions[static_cast<std::size_t>(centre)];
            for (int index = 0; index < model.input.deployment.entries; ++index) {
                if (entryAt(model, index).dataCentre == centre)
                    record.members.push_back({ entryName(index), entryAt(model, index).incarnation });
            }
            for (int index = 0; index < model.input.deployment.entries; ++index) {
                Entry& entry = entryAt(model, index);
                if (entry.dataCentre == centre && entry.isAlive)
                    carryOut(model, index, onSlotRecord(entry.gateway, record, model.now, model.now));
            }
        }
    }

    void heartbeat(Model& model)
    {
        for (int from = 0; from < model.input.deployment.entries; ++from) {
            for (int to = 0; to < model.input.deployment.entries; ++to) {
                Entry& sender = entryAt(model, from);
                Entry& receiver = entryAt(model, to);
                const bool isPair = from != to && sender.dataCentre == receiver.dataCentre;
                if (!isPair || !sender.isAlive || !receiver.isAlive)
                    continue;
                const SlotAck ack = currentSlotAck(sender.gateway, model.now);
                carryOut(model, to, onSlotAck(receiver.gateway, ack, model.now, model.now));
            }
        }
    }

    void sendDigests(Model& model)
    {
        for (Entry& receiver : model.entries) {
            std::vector<PeerInfo> peers;
            for (int index = 0; index < model.input.deployment.entries; ++index) {
                const Entry& peer = entryAt(model, index);
                const bool isUsable = peer.isAlive && !(model.isOut && peer.dataCentre == 0);
                if (!isUsable || peer.dataCentre == receiver.dataCentre)
                    continue;
                int others = 0;
                for (const Entry& other : model.entries)
                    others += other.dataCentre != peer.dataCentre && other.isAlive ? 1 : 0;
                const double free = peer.gateway.queue.capacity - peer.gateway.localInFlight
                    - static_cast<double>(size(peer.gateway.queue));
                const int share = static_cast<int>(std::max(0.0, free)) / std::max(1, others);
                peers.push_back({ entryName(index), dataCentreName(peer.dataCentre), share,
                    base::Duration(2 * model.input.deployment.distanceUs) });
            }
            onPeers(receiver.gateway, peers);
        }
    }

    void startEntry(Model& model, int index)
    {
        Entry& entry = entryAt(model, index);
        entry.dataCentre = index % model.input.deployment.dataCentres;
        entry.isAlive = true;
        entry.tickAt = base::TimePoint::max();
        const GatewayIdentity identity { entryName(index), entry.incarnation, dataCentreName(entry.dataCentre) };
        const std::uint64_t seed = base::below(model.rng, ~std::uint64_t { 0 });
        initGateway(entry.gateway, identity, model.input.limits, model.input.policy, seed);
        onEndpointList(entry.gateway, endpointList(model), model.now);
    }

    void listEndpoints(Model& model)
    {
        const std::vector<EndpointInfo> list = endpointList(model);
        for (int index = 0; index < model.input.deployment.entries; ++index) {
            Entry& entry = entryAt(model, index);
            if (!entry.isAlive)
                continue;
            carryOut(model, index, onEndpointList(entry.gateway, list, model.now));
            if (entry.dataCentre == 0)
                carryOut(model, index, setDataCentreOut(entry.gateway, model.isOut, model.now));
        }
        sendDigests(model);
    }

    void loseEntry(Model& model)
    {
        Entry& entry = entryAt(model, 0);
        entry.isAlive = false;
        std::vector<RequestId> lost;
        for (const auto& [id, request] : entry.gateway.requests)
            lost.push_back(id);
        for (const RequestId id : lost) {
            if (model.requests[id].parentEntry < 0)
                finish(model, id, false);
        }
    }

    void replaceEntry(Model& model)
    {
        model.entries[0].gateway.~Gateway();
        new (&model.entries[0].gateway) Gateway();
        ++model.entries[0].incarnation;
        model.attempts[0].assign(1, {});
        startEntry(model, 0);
        shareRecord(model);
        heartbeat(model);
    }

    enum class Control : std::uint64_t { Heartbeat, Digest, Fault, Recovery };

    void control(Model& model, Control what)
    {
        const Situation situation = model.input.situation;
        switch (what) {
        case Control::Heartbeat:
            heartbeat(model);
            schedule(model, heartbeatInterval, EventKind::Control, 0, static_cast<std::uint64_t>(what));
            break;
        case Control::Digest:
            sendDigests(model);
            schedule(model, digestInterval, EventKind::Control, 0, static_cast<std::uint64_t>(what));
            break;
        case Control::Fault:
        case Control::Recovery:
            if (situation == Situation::DataCentreOut) {
                model.isOut = what == Control::Fault;
                listEndpoints(model);
            } else if (situation == Situation::EntryLost) {
                what == Control::Fault ? loseEntry(model) : replaceEntry(model);
            }
            break;
        }
    }

    // --- Clients ---

    int chooseEntry(Model& model)
    {
        const auto entries = static_cast<std::uint64_t>(model.input.deployment.entries);
        const base::Duration elapsed = model.now - base::TimePoint();
        const bool isFirstKnownLost = !model.entries[0].isAlive && elapsed >= faultStart + balancerLag;
        if (isFirstKnownLost)
            return 1 + static_cast<int>(base::below(model.rng, entries - 1));
        if (base::chance(model.rng, model.input.clientSkew))
            return 0;
        return static_cast<int>(base::below(model.rng, entries));
    }

    void arrive(Model& model, double meanGapUs)
    {
        Request request;
        request.sentAt = model.now;
        request.isMeasured = model.now - base::TimePoint() >= model.input.warmUp;
        request.requestClass = base::chance(model.rng, 0.1) ? RequestClass::Slow : RequestClass::Urgent;
        request.isIdempotent = base::chance(model.rng, 0.5);
        request.deadlineMs = request.requestClass == RequestClass::Urgent ? urgentDeadlineMs : slowDeadlineMs;
        model.requests.push_back(request);
        const base::Duration delay(model.input.deployment.clientUs);
        schedule(model, delay, EventKind::Offer, chooseEntry(model), model.requests.size() - 1);
        const base::Duration gap(static_cast<std::int64_t>(base::exponential(model.rng, meanGapUs)));
        schedule(model, gap, EventKind::Arrival, 0);
    }

    void offerTo(Model& model, int index, RequestId id)
    {
        Entry& entry = entryAt(model, index);
        const Request& request = model.requests[id];
        if (!entry.isAlive) {
            reply(model, index, id, false, false);
            return;
        }
        IncomingRequest incoming;
        incoming.id = id;
        incoming.requestClass = request.requestClass;
        incoming.isIdempotent = request.isIdempotent;
        incoming.deadline = base::milliseconds(request.deadlineMs);
        incoming.hops = request.parentEntry < 0 ? 0 : 1;
        carryOut(model, index, offer(entry.gateway, incoming, model.now));
    }

    void onLoanEvent(Model& model, const Event& event)
    {
        Entry& entry = entryAt(model, event.entry);
        if (!entry.isAlive)
            return;
        const LoanMessage message = model.loans[event.a];
        if (event.kind == EventKind::LoanAsk) {
            model.loans[event.a].reply = onLoanRequest(entry.gateway, message.request, model.now);
            schedule(
                model, base::Duration(model.input.deployment.localUs), EventKind::LoanAnswer, message.from, event.a);
        } else if (event.kind == EventKind::LoanAnswer) {
            carryOut(model, event.entry, onLoanReply(entry.gateway, message.reply, model.now));
        } else {
            carryOut(model, event.entry, onLoanReturn(entry.gateway, message.back, model.now));
        }
    }

    void onEvent(Model& model, const Event& event, double meanGapUs)
    {
        Entry& entry = entryAt(model, event.entry);
        switch (event.kind) {
        case EventKind::Arrival:
            arrive(model, meanGapUs);
            break;
        case EventKind::Offer:
            offerTo(model, event.entry, event.a);
            break;
        case EventKind::Result: {
            const std::vector<Attempt>& attempts = model.attempts[static_cast<std::size_t>(event.entry)];
            if (event.a < attempts.size()) {
                const AttemptOutcome outcome = attempts[event.a].outcome;
                endAttempt(model, event.entry, event.a, outcome);
            }
            break;
        }
        case EventKind::ForwardReply: {
            AttemptOutcome outcome;
            outcome.complete = true;
            outcome.status = (event.b & 1U) != 0 ? 200 : 503;
            outcome.endpointSaidNotExecuted = (event.b & 2U) != 0;
            if (event.a < model.attempts[static_cast<std::size_t>(event.entry)].size())
                endAttempt(model, event.entry, event.a, outcome);
            break;
        }
        case EventKind::Tick:
            if (entry.isAlive && event.at == entry.tickAt) {
                entry.tickAt = base::TimePoint::max();
                carryOut(model, event.entry, tick(entry.gateway, model.now));
            }
            break;
        case EventKind::Control:
            control(model, static_cast<Control>(event.a));
            break;
        case EventKind::LoanAsk:
        case EventKind::LoanAnswer:
        case EventKind::LoanBack:
            onLoanEvent(model, event);
            break;
        }
    }

    double quantile(std::vector<double>& samples, double share)
    {
        if (samples.empty())
            return 0;
        const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(samples.size() - 1));
        std::nth_element(samples.begin(), samples.begin() + position, samples.end());
        return samples[static_cast<std::size_t>(position)];
    }

    ModelResult summarize(Model& model, double capacityPerSecond)
    {
        ModelResult result;
        const double seconds = base::toSeconds(model.input.duration - model.input.warmUp);
        result.p50Ms = quantile(model.urgentMs, 0.5);
        result.p99Ms = quantile(model.urgentMs, 0.99);
        result.p999Ms = quantile(model.urgentMs, 0.999);
        result.slowP99Ms = quantile(model.slowMs, 0.99);
        result.requests = model.measured;
        const auto measured = static_cast<double>(std::max<std::uint64_t>(1, model.measured));
        result.refusedShare = static_cast<double>(model.refused) / measured;
        result.goodputShare = static_cast<double>(model.good) / (seconds * capacityPerSecond);
        double offered = 0;
        for (const Entry& entry : model.entries) {
            const Counters& counters = entry.gateway.counters;
            offered += static_cast<double>(counters.offered);
            result.forwardedShare += static_cast<double>(counters.forwarded);
            result.hedgedShare += static_cast<double>(counters.hedges);
            result.loansPerSecond
                += static_cast<double>(counters.loansReceived) / base::toSeconds(model.input.duration);
        }
        result.forwardedShare /= std::max(1.0, offered);
        result.hedgedShare /= std::max(1.0, offered);
        result.slotsInUseMax = model.slotsInUseMax;
        return result;
    }

} // namespace

routing::Limits limitsFor(routing::PolicyName policy)
{
    routing::Limits limits;
    if (policy != routing::PolicyName::LatencyAware)
        limits.router.ejectedShareMax = 0;
    return limits;
}

ModelResult runModel(const ModelInput& input)
{
    Model model(input);
    const Deployment& deployment = input.deployment;
    model.versions.assign(static_cast<std::size_t>(deployment.dataCentres), 0);
    for (int index = 0; index < deployment.entries; ++index)
        startEntry(model, index);
    shareRecord(model);
    heartbeat(model);
    if (input.sharing == Sharing::SingleHome)
        assignHomes(model);
    schedule(model, heartbeatInterval, EventKind::Control, 0, static_cast<std::uint64_t>(Control::Heartbeat));
    schedule(model, base::milliseconds(200), EventKind::Control, 0, static_cast<std::uint64_t>(Control::Digest));
    schedule(model, faultStart, EventKind::Control, 0, static_cast<std::uint64_t>(Control::Fault));
    const base::Duration recovery = input.situation == Situation::EntryLost ? entryReplaced : dataCentreBack;
    schedule(model, recovery, EventKind::Control, 0, static_cast<std::uint64_t>(Control::Recovery));
    const double slots = static_cast<double>(deployment.endpoints) * deployment.slots;
    const double capacityPerSecond = slots * 1e6 / ((fixedServiceUs + randomServiceUs) * (1 + contention));
    schedule(model, base::Duration(0), EventKind::Arrival, 0);
    const base::TimePoint end = base::TimePoint() + input.duration;
    while (!model.events.empty() && model.events.top().at < end) {
        const Event event = model.events.top();
        model.events.pop();
        model.now = event.at;
        onEvent(model, event, 1e6 / (input.load * capacityPerSecond));
    }
    return summarize(model, capacityPerSecond);
}

} // namespace lacewing::bench
