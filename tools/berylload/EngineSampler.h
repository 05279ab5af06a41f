// Watches the model engines' own counts during a run: shares of service, utilisation while work
// waits, and the fairness gap.
#pragma once

#include "HttpCall.h"
#include "Profile.h"
#include "Tally.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace berylridge {

/// All engines' counts at one moment, by workspace in the profile's order.
struct Sample
{
    std::vector<double> busySeconds;
    std::vector<bool> isBacklogged; ///< It has more streams open than run at engines.
    double running = 0;
    double slots = 0;
};

struct Fairness
{
    std::vector<double> busySeconds; ///< Slot seconds received in the run.
    double gap = 0;                  ///< Largest, in slot seconds at the mean weight.
    double utilisation = 0;          ///< Mean share of slots that run, while any work waits.
    std::size_t backloggedSamples = 0;
};

/// Weighted max-min fair parts of a capacity: nobody gets more than it asks for, and what one
/// leaves over goes to the others by weight.
std::vector<double> maxMinFairShares(const std::vector<double> &demands,
                                     const std::vector<double> &weights, double capacity);

/// The largest change of the difference in service per weight between two workspaces while both
/// are backlogged without a break.
Fairness measureFairness(const std::vector<Sample> &samples, const std::vector<double> &weights);

class EngineSampler
{
public:
    EngineSampler(boost::asio::io_context &io, const Profile &profile, const Tally &tally);

    /// Takes samples until the function says so; then the samples are complete.
    void start(std::function<bool()> isDone);
    const std::vector<Sample> &samples() const { return m_samples; }

private:
    struct PendingSample;
    void startSample();
    void finishSample(const PendingSample &pending);

    const Profile &m_profile;
    const Tally &m_tally;
    PooledHttpClient m_client;
    boost::asio::steady_timer m_timer;
    std::function<bool()> m_isDone;
    std::vector<Sample> m_samples;
};

} // namespace berylridge
