#include "EngineSampler.h"

#include "JsonText.h"

#include <algorithm>
#include <numeric>

namespace berylridge {

namespace {

constexpr auto samplePeriod = std::chrono::milliseconds(200);

/// Tracks the range of a value over consecutive samples.
class RangeTracker
{
public:
    void add(double value)
    {
        m_min = m_hasValue ? std::min(m_min, value) : value;
        m_max = m_hasValue ? std::max(m_max, value) : value;
        m_hasValue = true;
    }
    void reset() { m_hasValue = false; }
    double range() const { return m_hasValue ? m_max - m_min : 0; }

private:
    double m_min = 0;
    double m_max = 0;
    bool m_hasValue = false;
};

double pairwiseFairnessGap(const std::vector<Sample> &samples, const std::vector<double> &weights,
                           std::size_t a, std::size_t b)
{
    double gap = 0;
    RangeTracker rangeTracker;
    for (const auto &sample : samples) {
        if (!sample.isBacklogged[a] || !sample.isBacklogged[b]) {
            rangeTracker.reset();
            continue;
        }
        rangeTracker.add(sample.busySeconds[a] / weights[a] - sample.busySeconds[b] / weights[b]);
        gap = std::max(gap, rangeTracker.range());
    }
    return gap;
}

} // namespace

std::vector<double> maxMinFairShares(const std::vector<double> &demands,
                                     const std::vector<double> &weights, double capacity)
{
    std::vector<double> shares(demands.size(), -1);
    double remaining = capacity;
    bool hasChanged = true;
    while (hasChanged) {
        hasChanged = false;
        double unsatisfiedWeight = 0;
        for (std::size_t i = 0; i < shares.size(); ++i)
            unsatisfiedWeight += shares[i] < 0 ? weights[i] : 0;
        const double fairRate = unsatisfiedWeight > 0 ? remaining / unsatisfiedWeight : 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (shares[i] >= 0 || demands[i] > fairRate * weights[i])
                continue;
            shares[i] = demands[i];
            remaining -= demands[i];
            hasChanged = true;
        }
        if (hasChanged)
            continue;
        for (std::size_t i = 0; i < shares.size(); ++i)
            shares[i] = shares[i] < 0 ? fairRate * weights[i] : shares[i];
    }
    return shares;
}

Fairness measureFairness(const std::vector<Sample> &samples, const std::vector<double> &weights)
{
    Fairness fairness;
    fairness.busySeconds.resize(weights.size());
    if (samples.empty())
        return fairness;
    const double mean = std::accumulate(weights.begin(), weights.end(), 0.0)
        / static_cast<double>(weights.size());
    std::vector<double> relativeWeights = weights;
    for (double &weight : relativeWeights)
        weight /= mean;
    for (std::size_t a = 0; a < weights.size(); ++a) {
        fairness.busySeconds[a] = samples.back().busySeconds[a] - samples.front().busySeconds[a];
        for (std::size_t b = 0; b < a; ++b)
            fairness.gap
                = std::max(fairness.gap, pairwiseFairnessGap(samples, relativeWeights, a, b));
    }
    for (const auto &sample : samples) {
        if (std::find(sample.isBacklogged.begin(), sample.isBacklogged.end(), true)
            == sample.isBacklogged.end())
            continue;
        ++fairness.backloggedSamples;
        fairness.utilisation += sample.slots > 0 ? sample.running / sample.slots : 0;
    }
    if (fairness.backloggedSamples > 0)
        fairness.utilisation /= static_cast<double>(fairness.backloggedSamples);
    return fairness;
}

/// A sample for which calls to engines are still open.
struct EngineSampler::PendingSample
{
    std::size_t pendingCalls = 0;
    std::vector<double> running;
    Sample sample;
};

EngineSampler::EngineSampler(boost::asio::io_context &io, const Profile &profile,
                             const Tally &tally)
    : m_profile(profile)
    , m_tally(tally)
    , m_client(io)
    , m_timer(io)
{
}

void EngineSampler::start(std::function<bool()> isDone)
{
    m_isDone = std::move(isDone);
    if (!m_profile.engines.empty())
        startSample();
}

void EngineSampler::startSample()
{
    auto pending = std::make_shared<PendingSample>();
    pending->pendingCalls = m_profile.engines.size();
    pending->running.resize(m_profile.workspaces.size());
    pending->sample.busySeconds.resize(m_profile.workspaces.size());
    for (const auto &engine : m_profile.engines) {
        CallSpec spec;
        spec.endpoint = engine;
        spec.target = "/stats";
        spec.timeout = std::chrono::seconds(2);
        m_client.call(std::move(spec), [this, pending](const CallResult &result) {
            const auto stats = parseJson(result.body);
            if (result.end == CallEnd::Complete && stats && stats->isObject()) {
                pending->sample.running += (*stats)["running"].asDouble();
                pending->sample.slots += (*stats)["slots"].asDouble();
                for (std::size_t i = 0; i < m_profile.workspaces.size(); ++i) {
                    const auto &workspaceStats
                        = (*stats)["workspaces"][m_profile.workspaces[i].name];
                    pending->running[i] += workspaceStats["running"].asDouble();
                    pending->sample.busySeconds[i] += workspaceStats["busySeconds"].asDouble();
                }
            }
            if (--pending->pendingCalls == 0)
                finishSample(*pending);
        });
    }
}

void EngineSampler::finishSample(const PendingSample &pending)
{
    Sample sample = pending.sample;
    for (std::size_t i = 0; i < m_profile.workspaces.size(); ++i)
        sample.isBacklogged.push_back(m_tally.workspaces[i].openStreams > pending.running[i]);
    m_samples.push_back(std::move(sample));
    if (m_isDone())
        return;
    m_timer.expires_after(samplePeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            startSample();
    });
}

} // namespace berylridge
