// Sends the load of a profile. Arrivals are open loop: they follow the clock and don't wait for
// responses. To measure throughput, lookup callers can be closed loop: each sends its next request
// after the response to the previous one.
#pragma once

#include "HttpCall.h"
#include "Profile.h"
#include "Tally.h"

#include "berylridge/Support/Random.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string>

namespace berylridge {

class Generator
{
public:
    Generator(boost::asio::io_context &io, const Profile &profile);

    /// Starts sending; the I/O context runs out of work after the last response.
    void start();
    const Tally &tally() const { return m_tally; }
    bool isDone() const { return m_openArrivals == 0 && m_openRequests == 0; }

private:
    /// A purchase with all its attempts, or a single request of another kind.
    struct LoadRequest
    {
        std::size_t workspace = 0;
        RequestKind kind = RequestKind::Lookup;
        CallSpec spec;
        std::string expectedBody;
        std::uint64_t tokens = 0;
        std::string key;
        std::uint32_t attempt = 1;
        TimePoint start {};
        std::size_t router = 0;
        bool isClosedLoop = false; ///< The response triggers the next request.
    };

    void startArrivals(std::size_t workspace, RequestKind kind, double rate);
    void scheduleNext(const std::shared_ptr<boost::asio::steady_timer> &timer,
                      std::size_t workspace, RequestKind kind, double rate);
    LoadRequest makeRequest(std::size_t workspace, RequestKind kind);
    void chooseEndpoint(LoadRequest &request);
    void send(LoadRequest request);
    void onCallEnded(LoadRequest request, const CallResult &result);
    void finishRequest(const LoadRequest &request, Outcome outcome);
    void recordResponse(const LoadRequest &request, Outcome outcome, const CallResult &result);
    void retryPurchase(LoadRequest request, const CallResult &result);

    boost::asio::io_context &m_io;
    const Profile &m_profile;
    PooledHttpClient m_client;
    RandomEngine m_random;
    Tally m_tally;
    std::uint64_t m_requestCount = 0;
    std::uint32_t m_openArrivals = 0;
    std::uint32_t m_openRequests = 0;
    std::chrono::steady_clock::time_point m_endTime;
};

} // namespace berylridge
