#include "Sampler.h"

#include "JsonText.h"

#include <algorithm>
#include <numeric>

namespace berylridge {

namespace {

constexpr auto samplePeriod = std::chrono::milliseconds(200);

/// Range of a value over an unbroken stretch of samples.
class Stretch
{
public:
    void add(double value)
    {
        m_low = m_isOpen ? std::min(m_low, value) : value;
        m_high = m_isOpen ? std::max(m_high, value) : value;
        m_isOpen = true;
    }
    void close() { m_isOpen = false; }
    double range() const { return m_isOpen ? m_high - m_low : 0; }

private:
    double m_low = 0;
    double m_high = 0;
    bool m_isOpen = false;
};

double pairGap(const std::vector<Sample> &samples, const std::vector<double> &weights,
               std::size_t a, std::size_t b)
{
    double gap = 0;
    Stretch stretch;
    for (const auto &sample : samples) {
        if (!sample.isBacklogged[a] || !sample.isBacklogged[b]) {
            stretch.close();
            continue;
        }
        stretch.add(sample.busySeconds[a] / weights[a] - sample.busySeconds[b] / weights[b]);
        gap = std::max(gap, stretch.range());
    }
    return gap;
}

} // namespace

std::vector<double> fairParts(const std::vector<double> &demands,
                              const std::vector<double> &weights, double capacity)
{
    std::vector<double> parts(demands.size(), -1);
    double left = capacity;
    bool isSettling = true;
    while (isSettling) {
        isSettling = false;
        double openWeight = 0;
        for (std::size_t i = 0; i < parts.size(); ++i)
            openWeight += parts[i] < 0 ? weights[i] : 0;
        const double level = openWeight > 0 ? left / openWeight : 0;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (parts[i] >= 0 || demands[i] > level * weights[i])
                continue;
            parts[i] = demands[i];
            left -= demands[i];
            isSettling = true;
        }
        if (isSettling)
            continue;
        for (std::size_t i = 0; i < parts.size(); ++i)
            parts[i] = parts[i] < 0 ? level * weights[i] : parts[i];
    }
    return parts;
}

Fairness measureFairness(const std::vector<Sample> &samples, const std::vector<double> &weights)
{
    Fairness fairness;
    fairness.busySeconds.resize(weights.size());
    if (samples.empty())
        return fairness;
    const double mean = std::accumulate(weights.begin(), weights.end(), 0.0)
        / static_cast<double>(weights.size());
    std::vector<double> relative = weights;
    for (double &weight : relative)
        weight /= mean;
    for (std::size_t a = 0; a < weights.size(); ++a) {
        fairness.busySeconds[a] = samples.back().busySeconds[a] - samples.front().busySeconds[a];
        for (std::size_t b = 0; b < a; ++b)
            fairness.gap = std::max(fairness.gap, pairGap(samples, relative, a, b));
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

/// The answers to one sample's calls.
struct Sampler::Round
{
    std::size_t open = 0;
    std::vector<double> running;
    Sample sample;
};

Sampler::Sampler(boost::asio::io_context &io, const Profile &profile, const Tally &tally)
    : m_profile(profile)
    , m_tally(tally)
    , m_caller(io)
    , m_timer(io)
{
}

void Sampler::start(std::function<bool()> isDone)
{
    m_isDone = std::move(isDone);
    if (!m_profile.engines.empty())
        take();
}

void Sampler::take()
{
    auto round = std::make_shared<Round>();
    round->open = m_profile.engines.size();
    round->running.resize(m_profile.workspaces.size());
    round->sample.busySeconds.resize(m_profile.workspaces.size());
    for (const auto &engine : m_profile.engines) {
        CallSpec spec;
        spec.endpoint = engine;
        spec.target = "/stats";
        spec.timeout = std::chrono::seconds(2);
        m_caller.call(std::move(spec), [this, round](const CallResult &result) {
            const auto stats = parseJson(result.body);
            if (result.end == CallEnd::Whole && stats && stats->isObject()) {
                round->sample.running += (*stats)["running"].asDouble();
                round->sample.slots += (*stats)["slots"].asDouble();
                for (std::size_t i = 0; i < m_profile.workspaces.size(); ++i) {
                    const auto &own = (*stats)["workspaces"][m_profile.workspaces[i].name];
                    round->running[i] += own["running"].asDouble();
                    round->sample.busySeconds[i] += own["busySeconds"].asDouble();
                }
            }
            if (--round->open == 0)
                finish(*round);
        });
    }
}

void Sampler::finish(const Round &round)
{
    Sample sample = round.sample;
    for (std::size_t i = 0; i < m_profile.workspaces.size(); ++i)
        sample.isBacklogged.push_back(m_tally.workspaces[i].openStreams > round.running[i]);
    m_samples.push_back(std::move(sample));
    if (m_isDone())
        return;
    m_timer.expires_after(samplePeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            take();
    });
}

} // namespace berylridge
