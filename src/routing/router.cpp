// Endpoint choice, ejection and slow start.
#include "routing/router.h"

#include "routing/slots.h"

#include <algorithm>
#include <array>
#include <limits>

namespace lacewing::routing {

namespace {

    // The median is used for ejection only; the interval bounds its cost at thousands of endpoints.
    constexpr base::Duration medianInterval = base::milliseconds(100);
    constexpr double slowStartWeightMin = 0.1; // an endpoint in slow start gets some requests from the start

    void count(const Router& router, std::uint64_t Counters::*field)
    {
        if (router.counters)
            ++(router.counters->*field);
    }

    bool isPanic(const Router& router)
    {
        return static_cast<double>(router.eligibleCount)
            < router.limits.panicShare * static_cast<double>(router.endpoints.size());
    }

    bool isFailed(const Router& router, const EndpointState& state)
    {
        return state.failuresInRow >= router.limits.failuresToEject;
    }

    void recount(Router& router)
    {
        router.ejectedCount = 0;
        router.eligibleCount = 0;
        router.nextReturnAt = base::TimePoint::max();
        for (const EndpointState& state : router.endpoints) {
            router.ejectedCount += state.isEjected ? 1 : 0;
            if (state.isEjected)
                router.nextReturnAt = std::min(router.nextReturnAt, state.ejectedUntil);
            const bool isLive = state.info.status == EndpointStatus::Live;
            router.eligibleCount += isLive && !state.isEjected && !isFailed(router, state) ? 1 : 0;
        }
    }

    void reindex(Router& router)
    {
        router.indexes.clear();
        for (std::size_t index = 0; index < router.endpoints.size(); ++index)
            router.indexes[router.endpoints[index].info.id] = index;
    }

    void updateMedian(Router& router, base::TimePoint now)
    {
        if (router.medianAt && now < *router.medianAt + medianInterval)
            return;
        std::vector<double> estimates;
        for (const EndpointState& state : router.endpoints) {
            if (state.samples >= router.limits.samplesToEject && state.info.status == EndpointStatus::Live)
                estimates.push_back(state.serviceUs);
        }
        router.medianAt = now;
        // The first results come from the shortest requests; a median of few endpoints would be too low.
        if (2 * estimates.size() < router.eligibleCount || estimates.empty())
            return;
        const auto middle = estimates.begin() + static_cast<std::ptrdiff_t>((estimates.size() - 1) / 2);
        std::nth_element(estimates.begin(), middle, estimates.end());
        router.medianUs = *middle;
    }

    bool mayChoose(const EndpointState& state, const RequestView& request, bool ignoreEjection, base::TimePoint now)
    {
        const bool isAllowed = !state.isEjected || ignoreEjection || (state.isSlow && request.mayUseSlow);
        if (state.info.status != EndpointStatus::Live || !isAllowed)
            return false;
        if (std::find(request.excluded.begin(), request.excluded.end(), state.info.id) != request.excluded.end())
            return false;
        return !request.slots || usable(*request.slots, state.info.id, request.timeLimit, now) > 0;
    }

    double estimateUs(const Router& router, const EndpointState& state, base::TimePoint now)
    {
        double estimate = static_cast<double>(router.limits.initialEstimateUs);
        if (state.samples > 0)
            estimate = state.serviceUs;
        else if (router.medianUs > 0)
            estimate = router.medianUs;
        // Results arrive late: an attempt that is in flight for longer than the estimate already proves a higher one.
        for (const base::TimePoint sentAt : state.sentAt)
            estimate = std::max(estimate, static_cast<double>((now - sentAt).count()));
        return estimate;
    }

    double score(const Router& router, const EndpointState& state, base::TimePoint now)
    {
        double value = estimateUs(router, state, now) * (state.inFlight + 1);
        if (now < state.slowStartUntil) {
            const auto left = static_cast<double>((state.slowStartUntil - now).count());
            const double weight
                = 1.0 - left / static_cast<double>(base::milliseconds(router.limits.slowStartMs).count());
            value /= std::max(slowStartWeightMin, weight);
        }
        // The cap on ejections can leave failing endpoints in the pool.
        if (state.failuresInRow > 0)
            value *= 1 + state.failuresInRow;
        return value + static_cast<double>(state.info.distance.count());
    }

    double cost(const Router& router, const EndpointState& state, base::TimePoint now)
    {
        return router.policy == PolicyName::LatencyAware ? score(router, state, now) : state.inFlight;
    }

    int samplesOf(const Router& router)
    {
        switch (router.policy) {
        case PolicyName::Random:
            return 1;
        case PolicyName::TwoChoices:
            return 2;
        case PolicyName::LatencyAware:
            return std::max(1, router.limits.sampleCount);
        case PolicyName::RoundRobin:
        case PolicyName::LeastOutstanding:
            break;
        }
        return 0;
    }

    struct Best {
        std::size_t index = 0;
        double cost = std::numeric_limits<double>::max();
        int equal = 0; // candidates with this cost, for a uniform choice among them
    };

    void consider(Best& best, std::size_t index, double value, base::Rng& rng)
    {
        if (value < best.cost) {
            best = { index, value, 1 };
        } else if (value == best.cost) {
            ++best.equal;
            if (base::below(rng, static_cast<std::uint64_t>(best.equal)) == 0)
                best.index = index;
        }
    }

    // Best of a few samples. A sample that may not be chosen is drawn again, up to a limit.
    Best sample(
        const Router& router, const RequestView& request, bool ignoreEjection, base::TimePoint now, base::Rng& rng)
    {
        Best best;
        const int wanted = samplesOf(router);
        int found = 0;
        for (int draw = 0; draw < 4 * wanted && found < wanted; ++draw) {
            const std::size_t index = base::below(rng, router.endpoints.size());
            const EndpointState& state = router.endpoints[index];
            if (!mayChoose(state, request, ignoreEjection, now))
                continue;
            ++found;
            // Drawing the same endpoint again must not raise its probability in a tie.
            if (best.equal == 0 || best.index != index)
                consider(best, index, cost(router, state, now), rng);
        }
        return best;
    }

    Best scan(
        const Router& router, const RequestView& request, bool ignoreEjection, base::TimePoint now, base::Rng& rng)
    {
        Best best;
        for (std::size_t index = 0; index < router.endpoints.size(); ++index) {
            const EndpointState& state = router.endpoints[index];
            if (mayChoose(state, request, ignoreEjection, now))
                consider(best, index, router.policy == PolicyName::Random ? 0 : cost(router, state, now), rng);
        }
        return best;
    }

    std::optional<std::size_t> choose(
        Router& router, const RequestView& request, bool ignoreEjection, base::TimePoint now, base::Rng& rng)
    {
        if (router.policy == PolicyName::RoundRobin) {
            for (std::size_t step = 0; step < router.endpoints.size(); ++step) {
                const std::size_t index = (router.nextRoundRobin + step) % router.endpoints.size();
                if (mayChoose(router.endpoints[index], request, ignoreEjection, now)) {
                    router.nextRoundRobin = index + 1;
                    return index;
                }
            }
            return std::nullopt;
        }
        Best best;
        // Drawing with repetition from a small pool can miss the best endpoints at nearly the cost of a scan.
        const bool isSmall = router.policy == PolicyName::LatencyAware
            && router.endpoints.size() <= 2 * static_cast<std::size_t>(samplesOf(router));
        if (router.policy != PolicyName::LeastOutstanding && !isSmall)
            best = sample(router, request, ignoreEjection, now, rng);
        if (best.equal == 0)
            best = scan(router, request, ignoreEjection, now, rng);
        return best.equal > 0 ? std::optional(best.index) : std::nullopt;
    }

    void eject(Router& router, EndpointState& state, bool isSlow, base::TimePoint now)
    {
        if (state.isEjected) {
            state.isSlow = state.isSlow && isSlow; // failures weigh more than latency
            return;
        }
        const double allowed = router.limits.ejectedShareMax * static_cast<double>(router.endpoints.size());
        if (static_cast<double>(router.ejectedCount + 1) > allowed) {
            count(router, &Counters::ejectionsCapped);
            return;
        }
        state.isEjected = true;
        state.isSlow = isSlow;
        ++state.ejectionsInRow;
        const std::int64_t length
            = std::min(router.limits.ejectionMaxMs, router.limits.ejectionMs * std::max(1, state.ejectionsInRow));
        state.ejectedUntil = now + base::milliseconds(length);
        count(router, &Counters::ejections);
        recount(router);
    }

    void startSlowStart(const Router& router, EndpointState& state, base::TimePoint now)
    {
        state.slowStartUntil = now + base::milliseconds(router.limits.slowStartMs);
        state.samples = 0;
        state.failuresInRow = 0;
    }

} // namespace

void onEndpointList(Router& router, std::span<const EndpointInfo> list, base::TimePoint now)
{
    const bool isFirst = router.endpoints.empty();
    std::unordered_map<base::EndpointId, const EndpointInfo*> listed;
    for (const EndpointInfo& info : list)
        listed[info.id] = &info;
    for (EndpointState& state : router.endpoints) {
        const auto found = listed.find(state.info.id);
        if (found == listed.end()) {
            state.info.status = EndpointStatus::Leaving;
            continue;
        }
        const bool isBack
            = state.info.status == EndpointStatus::Leaving && found->second->status == EndpointStatus::Live;
        state.info = *found->second;
        if (isBack)
            startSlowStart(router, state, now);
    }
    std::erase_if(router.endpoints,
        [&](const EndpointState& state) { return state.inFlight == 0 && !listed.contains(state.info.id); });
    reindex(router);
    for (const EndpointInfo& info : list) {
        if (router.indexes.contains(info.id))
            continue;
        EndpointState state;
        state.info = info;
        if (!isFirst)
            startSlowStart(router, state, now);
        router.indexes[info.id] = router.endpoints.size();
        router.endpoints.push_back(std::move(state));
    }
    recount(router);
}

std::optional<base::EndpointId> chooseEndpoint(
    Router& router, const RequestView& request, base::TimePoint now, base::Rng& rng)
{
    updateEjections(router, now);
    if (router.endpoints.empty())
        return std::nullopt;
    const bool ignoreEjection = isPanic(router);
    RequestView strict = request;
    strict.mayUseSlow = false;
    std::optional<std::size_t> index = choose(router, strict, ignoreEjection, now, rng);
    if (!index && request.mayUseSlow && router.ejectedCount > 0)
        index = choose(router, request, ignoreEjection, now, rng);
    if (!index && !request.excluded.empty()) {
        RequestView relaxed = request;
        relaxed.excluded = {};
        index = choose(router, relaxed, ignoreEjection, now, rng);
    }
    if (!index)
        return std::nullopt;
    if (ignoreEjection)
        count(router, &Counters::panicChoices);
    return router.endpoints[*index].info.id;
}

void onSent(Router& router, const base::EndpointId& endpoint, base::TimePoint now)
{
    const auto found = router.indexes.find(endpoint);
    if (found == router.indexes.end())
        return;
    EndpointState& state = router.endpoints[found->second];
    ++state.inFlight;
    state.sentAt.push_back(now);
}

void onOutcome(
    Router& router, const base::EndpointId& endpoint, base::TimePoint sentAt, OutcomeKind kind, base::TimePoint now)
{
    const auto found = router.indexes.find(endpoint);
    if (found == router.indexes.end())
        return;
    EndpointState& state = router.endpoints[found->second];
    const auto sent = std::find(state.sentAt.begin(), state.sentAt.end(), sentAt);
    if (sent != state.sentAt.end()) {
        *sent = state.sentAt.back();
        state.sentAt.pop_back();
        --state.inFlight;
    }
    const auto elapsedUs = static_cast<double>((now - sentAt).count());
    // A cancelled attempt proves a lower bound of the service time, which counts only when it raises the estimate.
    const bool isBound = kind != OutcomeKind::Success && elapsedUs > state.serviceUs;
    if (kind == OutcomeKind::Success || isBound) {
        // The first samples are averaged, so that a single one does not decide.
        const double weight = std::max(router.limits.estimateWeight, 1.0 / (state.samples + 1));
        state.serviceUs += weight * (elapsedUs - state.serviceUs);
        ++state.samples;
    }
    if (kind == OutcomeKind::Failure) {
        if (++state.failuresInRow == router.limits.failuresToEject)
            recount(router);
        if (isFailed(router, state))
            eject(router, state, false, now);
    } else if (kind == OutcomeKind::Success) {
        const bool wasFailed = isFailed(router, state);
        state.failuresInRow = 0;
        if (wasFailed)
            recount(router);
        if (!state.isEjected && state.ejectionsInRow > 0 && now >= state.slowStartUntil)
            state.ejectionsInRow = 0;
    }
    updateMedian(router, now);
    const bool isOutlier = state.samples >= router.limits.samplesToEject && router.medianUs > 0
        && state.serviceUs > router.limits.latencyFactorToEject * router.medianUs;
    if (isOutlier)
        eject(router, state, true, now);
}

void updateEjections(Router& router, base::TimePoint now)
{
    if (router.ejectedCount == 0 || now < router.nextReturnAt)
        return;
    bool isChanged = false;
    for (EndpointState& state : router.endpoints) {
        if (!state.isEjected || now < state.ejectedUntil)
            continue;
        state.isEjected = false;
        startSlowStart(router, state, now);
        isChanged = true;
    }
    if (isChanged)
        recount(router);
}

const EndpointState* findEndpoint(const Router& router, const base::EndpointId& endpoint)
{
    const auto found = router.indexes.find(endpoint);
    return found == router.indexes.end() ? nullptr : &router.endpoints[found->second];
}

} // namespace lacewing::routing
