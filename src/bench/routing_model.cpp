// Events of the model: a queue ordered by time, with the real gateways as the state of the entry instances.
#include "bench/routing_model.h"

#include "base/hash.h"

#include <algorithm>
#include <deque>
#include <queue>

namespace lacewing::bench {

namespace {

    using namespace routing;

    constexpr double fixedServiceUs = 8000;
    constexpr double randomServiceUs = 12000; // mean of the exponential part
    constexpr std::int64_t failureUs = 500;   // time after which a failing endpoint answers 503
    constexpr double neighbourSpread = 0.3;   // batch tasks on the machine change the service time by up to this share
    constexpr base::Duration neighbourInterval = base::seconds(2); // time between two changes of an endpoint
    constexpr double contention = 0.25; // increase of the service time when all slots of an endpoint are in use
    constexpr double slowFactor = 10;
    constexpr double burstFactor = 4;
    constexpr int burstEvery = 5; // one in this many endpoints suffers from the burst
    constexpr int failingEvery = 10;
    constexpr std::int64_t urgentDeadlineMs = 500;
    constexpr std::int64_t slowDeadlineMs = 5000;
    constexpr base::Duration digestInterval = base::seconds(2);
    constexpr base::Duration heartbeatInterval = base::seconds(1);
    constexpr base::Duration faultStart = base::seconds(4);
    constexpr base::Duration burstEnd = base::seconds(6);
    constexpr base::Duration balancerLag = base::seconds(1);   // until no request goes to a lost entry instance
    constexpr base::Duration entryReplaced = base::seconds(9); // new process under the same name
    constexpr base::Duration dataCentreBack = base::seconds(9);

    enum class EventKind { Arrival, Offer, Result, Tick, Control, LoanAsk, LoanAnswer, LoanBack, ForwardReply };

    struct Event {
        base::TimePoint at;
        std::uint64_t order = 0; // equal times: first scheduled first
        EventKind kind = EventKind::Arrival;
        int entry = 0;
        std::uint64_t a = 0;
        std::uint64_t b = 0;

        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    struct Request {
        base::TimePoint sentAt;
        RequestClass requestClass = RequestClass::Urgent;
        bool isIdempotent = false;
        bool isDone = false;
        bool isMeasured = false;
        // --- Forwarded requests: the attempt of the first daemon ---
        int parentEntry = -1;
        RequestId parent = 0;
        AttemptId parentAttempt = 0;
        std::int64_t deadlineMs = 0;
    };

    struct Attempt {
        RequestId request = 0;
        int endpoint = -1; // -1: forwarded
        bool isEnded = false;
        AttemptOutcome outcome;
    };

    struct LoanMessage {
        LoanRequest request;
        LoanReply reply;
        LoanReturn back;
        int from = 0;
    };

    struct Entry {
        Gateway gateway;
        int dataCentre = 0;
        bool isAlive = true;
        base::TimePoint tickAt = base::TimePoint::max();
        std::uint64_t incarnation = 1;
    };

    struct Model {
        explicit Model(const ModelInput& settings)
            : input(settings)
            , rng(settings.seed)
            , entries(static_cast<std::size_t>(settings.deployment.entries))
            , inUse(static_cast<std::size_t>(settings.deployment.endpoints), 0)
        {
        }

        const ModelInput& input;
        base::Rng rng;
        base::TimePoint now;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
        std::uint64_t nextOrder = 0;
        std::deque<Entry> entries;
        std::vector<int> inUse;              // attempts in flight, by endpoint
        std::vector<Request> requests { 1 }; // by request id; 0 is unused
        std::vector<std::vector<Attempt>> attempts { entries.size(), std::vector<Attempt>(1) }; // by entry, attempt id
        std::vector<LoanMessage> loans;
        std::vector<std::uint64_t> versions; // slot record version by data centre
        bool isOut = false;                  // data centre 0 is out of service
        std::vector<double> urgentMs;
        std::vector<double> slowMs;
        std::uint64_t measured = 0;
        std::uint64_t refused = 0;
        std::uint64_t good = 0;
        int slotsInUseMax = 0;
    };

    base::DaemonId entryName(int index) { return { "entry" + std::to_string(index) }; }
    base::DataCentreId dataCentreName(int index) { return { "dc" + std::to_string(index) }; }
    base::EndpointId endpointName(int index) { return { "endpoint" + std::to_string(index) }; }
    int numberOf(const std::string& name, std::size_t prefix) { return std::stoi(name.substr(prefix)); }
    int numberOf(const base::DaemonId& daemon) { return numberOf(daemon.value, 5); }
    int numberOf(const base::EndpointId& endpoint) { return numberOf(endpoint.value, 8); }

    Entry& entryAt(Model& model, int index) { return model.entries[static_cast<std::size_t>(index)]; }

    void schedule(
        Model& model, base::Duration delay, EventKind kind, int entry, std::uint64_t a = 0, std::uint64_t b = 0)
    {
        model.events.push({ model.now + delay, model.nextOrder++, kind, entry, a, b });
    }

    base::Duration linkDelay(const Model& model, int firstCentre, int secondCentre)
    {
        const Deployment& deployment = model.input.deployment;
        return base::Duration(firstCentre == secondCentre ? deployment.localUs : deployment.distanceUs);
    }

    int centreOfEndpoint(const Model& model, int endpoint) { return endpoint % model.input.deployment.dataCentres; }

    // --- Outcome of requests ---

    void finish(Model& model, RequestId id, bool isAnswered)
    {
        Request& request = model.requests[id];
        if (request.isDone)
            return;
        request.isDone = true;
        if (!request.isMeasured)
            return;
        ++model.measured;
        const base::Duration latency = model.now + base::Duration(model.input.deployment.clientUs) - request.sentAt;
        const std::int64_t deadlineMs
            = request.requestClass == RequestClass::Urgent ? urgentDeadlineMs : slowDeadlineMs;
        const auto clientTrip = base::Duration(2 * model.input.deployment.clientUs);
        if (!isAnswered || latency > base::milliseconds(deadlineMs) + clientTrip) {
            ++model.refused;
            return;
        }
        ++model.good;
        std::vector<double>& samples = request.requestClass == RequestClass::Urgent ? model.urgentMs : model.slowMs;
        samples.push_back(static_cast<double>(latency.count()) / 1000.0);
    }

    // --- Endpoints ---

    struct Service {
        base::Duration time { 0 };
        bool isFailure = false;
    };

    // Factor of the batch tasks that run beside the endpoint, between 1 - neighbourSpread and 1 + neighbourSpread.
    double neighbourFactor(const Model& model, int endpoint)
    {
        const auto period = static_cast<std::uint64_t>((model.now - base::TimePoint()) / neighbourInterval);
        const std::string key = std::to_string(endpoint) + '/' + std::to_string(period);
        const std::uint64_t hash = base::stableHash(key, model.input.seed);
        const double share = static_cast<double>(hash >> 11) * 0x1.0p-53;
        return 1 + neighbourSpread * (2 * share - 1);
    }

    Service drawService(Model& model, int endpoint)
    {
        double time = fixedServiceUs + base::exponential(model.rng, randomServiceUs);
        time *= neighbourFactor(model, endpoint);
        const double others = model.inUse[static_cast<std::size_t>(endpoint)] - 1;
        time *= 1 + contention * others / (model.input.deployment.slots - 1);
        const base::Duration elapsed = model.now - base::TimePoint();
        const Situation situation = model.input.situation;
        const bool isFaulty = elapsed >= model.input.warmUp;
        if (situation == Situation::SlowEndpoint && endpoint == 0 && isFaulty)
            time *= slowFactor;
        if (situation == Situation::FailingEndpoints && endpoint % failingEvery == 0 && isFaulty)
            return { base::Duration(failureUs), true };
        const bool isBurst = elapsed >= faultStart && elapsed < burstEnd;
        if (situation == Situation::Burst && endpoint % burstEvery == 0 && isBurst)
            time *= burstFactor;
        return { base::Duration(static_cast<std::int64_t>(time)), false };
    }

    // --- Effects of the gateways ---

    void carryOut(Model& model, int entry, const Effects& effects);

    void endAttempt(Model& model, int entry, AttemptId id, const AttemptOutcome& outcome)
    {
        Attempt& attempt = model.attempts[static_cast<std::size_t>(entry)][id];
        if (attempt.isEnded)
            return;
        attempt.isEnded = true;
        if (attempt.endpoint >= 0)
            --model.inUse[static_cast<std::size_t>(attempt.endpoint)];
        if (!entryAt(model, entry).isAlive)
            return;
        const RequestId request = attempt.request;
        carryOut(model, entry, onAttemptResult(entryAt(model, entry).gateway, request, id, outcome, model.now));
    }

    Attempt& addAttempt(Model& model, int entry, AttemptId id, RequestId request, int endpoint)
    {
        std::vector<Attempt>& attempts = model.attempts[static_cast<std::size_t>(entry)];
        attempts.resize(std::max<std::size_t>(attempts.size(), id + 1));
        attempts[id].request = request;
        attempts[id].endpoint = endpoint;
        return attempts[id];
    }

    void carryOutSend(Model& model, int entry, const Send& send)
    {
        const int endpoint = numberOf(send.endpoint);
        Attempt& attempt = addAttempt(model, entry, send.attemptId, send.requestId, endpoint);
        int& inUse = model.inUse[static_cast<std::size_t>(endpoint)];
        model.slotsInUseMax = std::max(model.slotsInUseMax, ++inUse);
        const Service service = drawService(model, endpoint);
        attempt.outcome.complete = true;
        attempt.outcome.status = service.isFailure ? 503 : 200;
        attempt.outcome.endpointSaidNotExecuted = service.isFailure;
        Gateway& gateway = entryAt(model, entry).gateway;
        onAttemptStarted(gateway, send.requestId, send.attemptId, model.now);
        const base::Duration trip = base::Duration(2 * model.input.deployment.localUs);
        schedule(model, service.time + trip, EventKind::Result, entry, send.attemptId);
    }

    void carryOutForward(Model& model, int entry, const ForwardToDaemon& forward)
    {
        addAttempt(model, entry, forward.attemptId, forward.requestId, -1);
        onAttemptStarted(entryAt(model, entry).gateway, forward.requestId, forward.attemptId, model.now);
        const int target = numberOf(forward.daemon);
        Request child = model.requests[forward.requestId];
        child.parentEntry = entry;
        child.parent = forward.requestId;
        child.parentAttempt = forward.attemptId;
        child.deadlineMs = forward.timeoutMs;
        model.requests.push_back(child);
        const base::Duration delay
            = linkDelay(model, entryAt(model, entry).dataCentre, entryAt(model, target).dataCentre);
        schedule(model, delay, EventKind::Offer, target, model.requests.size() - 1);
    }

    void reply(Model& model, int entry, RequestId id, bool isAnswered, bool isExecutedNo)
    {
        const Request& request = model.requests[id];
        if (request.parentEntry < 0) {
            finish(model, id, isAnswered);
            return;
        }
        const int parent = request.parentEntry;
        const base::Duration delay
            = linkDelay(model, entryAt(model, entry).dataCentre, entryAt(model, parent).dataCentre);
        const std::uint64_t result = (isAnswered ? 1U : 0U) | (isExecutedNo ? 2U : 0U);
        schedule(model, delay, EventKind::ForwardReply, parent, request.parentAttempt, result);
    }

    int homeOf(const Model& model, const base::EndpointId& endpoint, int dataCentre)
    {
        std::vector<int> members;
        for (int index = dataCentre; index < model.input.deployment.entries;
             index += model.input.deployment.dataCentres)
            members.push_back(index);
        return members[static_cast<std::size_t>(numberOf(endpoint) / model.input.deployment.dataCentres)
            % members.size()];
    }

    void carryOutLoanAsk(Model& model, int entry, const AskForLoan& ask)
    {
        LoanMessage message;
        message.request = ask.request;
        message.from = entry;
        int owner = numberOf(ask.owner);
        if (model.input.sharing == Sharing::SingleHome) {
            owner = homeOf(model, ask.request.endpoint, entryAt(model, entry).dataCentre);
            if (owner == entry)
                return;
            entryAt(model, entry).gateway.slots.pending[ask.request.request].owner = entryName(owner);
        }
        message.request.count = model.input.limits.slots.loanMaxSlots;
        model.loans.push_back(message);
        schedule(
            model, base::Duration(model.input.deployment.localUs), EventKind::LoanAsk, owner, model.loans.size() - 1);
    }

    void carryOutLoanBack(Model& model, const LoanReturn& back)
    {
        LoanMessage message;
        message.back = back;
        model.loans.push_back(message);
        schedule(model, base::Duration(model.input.deployment.localUs), EventKind::LoanBack, numberOf(back.owner),
            model.loans.size() - 1);
    }

    void wakeUp(Model& model, int index)
    {
        Entry& entry = entryAt(model, index);
        const std::optional<base::TimePoint> at = nextWakeUp(entry.gateway, model.now);
        if (!at)
            return;
        const base::TimePoint due = std::max(*at, model.now + base::Duration(1));
        if (due >= entry.tickAt && entry.tickAt > model.now)
            return;
        entry.tickAt = due;
        schedule(model, due - model.now, EventKind::Tick, index);
    }

    void carryOut(Model& model, int entry, const Effects& effects)
    {
        for (const Effect& effect : effects) {
            if (const auto* send = std::get_if<Send>(&effect)) {
                carryOutSend(model, entry, *send);
            } else if (const auto* forward = std::get_if<ForwardToDaemon>(&effect)) {
                carryOutForward(model, entry, *forward);
            } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
                AttemptOutcome outcome;
                outcome.connectionLost = true;
                endAttempt(model, entry, cancel->attemptId, outcome);
            } else if (const auto* answer = std::get_if<ReplyWithAnswer>(&effect)) {
                reply(model, entry, answer->requestId, true, false);
            } else if (const auto* problem = std::get_if<ReplyWithProblem>(&effect)) {
                reply(model, entry, problem->requestId, false, problem->executed == Executed::No);
            } else if (const auto* ask = std::get_if<AskForLoan>(&effect)) {
                carryOutLoanAsk(model, entry, *ask);
            } else if (const auto* back = std::get_if<GiveLoanBack>(&effect)) {
                carryOutLoanBack(model, back->loan);
            }
        }
        wakeUp(model, entry);
    }

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
