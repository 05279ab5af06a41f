// Samples the counters of the model engines during a run and computes shares of service,
// utilisation while work waits, and the fairness gap.
#pragma once

#include "HttpCall.h"
#include "Profile.h"
#include "Tally.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace berylridge {

/// Sums of the counters of all engines at one moment; vectors are in the profile's order.
struct Sample
{
    std::vector<double> busySeconds;
    std::vector<bool> isBacklogged; ///< More streams are open than run at engines.
    double running = 0;
    double slots = 0;
};

struct Fairness
{
    std::vector<double> busySeconds; ///< Slot seconds received during the run.
    double gap = 0;                  ///< The largest gap, in slot seconds at the mean weight.
    double utilisation = 0;          ///< Mean share of busy slots while any work waits.
    std::size_t backloggedSamples = 0;
};

/// Returns weighted max-min fair shares of a capacity: no share exceeds its demand, and unused
/// capacity goes to the others by weight.
std::vector<double> maxMinFairShares(const std::vector<double> &demands,
                                     const std::vector<double> &weights, double capacity);

/// Computes the fairness figures. The gap is the largest change, over all pairs of workspaces, of
/// the difference in service per weight while both are continuously backlogged.
Fairness measureFairness(const std::vector<Sample> &samples, const std::vector<double> &weights);

class EngineSampler
{
public:
    EngineSampler(boost::asio::io_context &io, const Profile &profile, const Tally &tally);

    /// Takes samples until isDone returns true; then samples() is complete.
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
