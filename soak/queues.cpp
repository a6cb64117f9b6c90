// Versions of the configuration, questions for their queues, and what the answers show.
#include "soak/queues.h"

#include "platform/standin/client.h"

namespace lacewing::soak {

namespace {

    constexpr int versionPeriodMs = 600;
    constexpr int questionPeriodMs = 60;
    constexpr int deadlineMs = 3000; // of a question
    constexpr int oldestAsked = 2 * keptVersions;

    QByteArray prefixOf(int number) { return "/extra/" + QByteArray::number(number) + '/'; }

} // namespace

Queues::Queues(Cluster& cluster, Checks& checks, std::uint64_t seed, int daemons)
    : m_cluster(cluster)
    , m_checks(checks)
    , m_rng(seed)
{
    for (int i = 0; i < daemons; ++i)
        m_channels.push_back(
            std::make_unique<http::Channel>(cluster.callersAddress(i), http::ChannelLimits {}, &m_traffic));
}

void Queues::tick(bool hasTraffic)
{
    const std::int64_t now = nowMs();
    const int newest = m_versions.empty() ? 1 : m_versions.rbegin()->first;
    if (hasTraffic && now >= m_nextVersionAt) {
        m_nextVersionAt = now + versionPeriodMs;
        accept(newest + 1);
    }
    if (now < m_nextQuestionAt || m_versions.empty())
        return;
    m_nextQuestionAt = now + questionPeriodMs;
    const int age = static_cast<int>(base::below(m_rng, oldestAsked));
    const std::size_t daemon = base::below(m_rng, m_channels.size());
    if (newest - age > 1)
        ask(newest - age, daemon);
}

void Queues::accept(int number)
{
    std::vector<QByteArray> prefixes { callersPrefix };
    for (int kept = number; kept > 1 && kept > number - keptVersions; --kept)
        prefixes.push_back(prefixOf(kept));
    m_versions[number].sentAt = nowMs();
    m_cluster.sendToOperator(platform::standin::configurationRequest(number, callersHost, prefixes),
        [this, number](const http::ClientResult& result) {
            if (result.ok() && result.status == 200)
                m_versions[number].acceptedAt = nowMs();
            else
                addViolation(m_checks, "the stand-in does not take version " + std::to_string(number));
        });
}

void Queues::ask(int number, std::size_t daemon)
{
    http::ChannelRequest request;
    request.target = prefixOf(number);
    request.timeoutMs = deadlineMs;
    const std::string process = m_cluster.processName(static_cast<int>(daemon));
    m_channels[daemon]->send(
        std::move(request), [this, number, process, sentAt = nowMs()](const http::ClientResult& result) {
            if (!result.ok())
                return;
            ++(result.status == 503 ? m_refusals : m_answers);
            if (isOutdated(m_versions, number, result.status, sentAt, nowMs()))
                addViolation(m_checks,
                    process + " answers " + std::to_string(result.status) + " for the queue of version "
                        + std::to_string(number) + " to a request of " + timeText(m_checks, sentAt)
                        + ", the newest version is " + std::to_string(m_versions.rbegin()->first));
        });
}

} // namespace lacewing::soak
