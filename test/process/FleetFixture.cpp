#include "FleetFixture.h"

#include "JsonText.h"

namespace berylridge::test {

namespace {

/// Exit status of berylload if it found a violation.
constexpr int violationExitStatus = 1;

} // namespace

void FleetProcess::startFleet(const FleetOptions &options)
{
    m_fleet = std::make_unique<TestFleet>(options);
    ASSERT_TRUE(m_fleet->start()) << "the fleet did not become ready\n" << m_fleet->logs();
}

void FleetProcess::startLoad(double seconds)
{
    m_load = m_fleet->startLoad(m_fleet->profile(seconds));
}

Json::Value FleetProcess::waitForLoadReport()
{
    const auto status = m_load->wait(std::chrono::seconds(120));
    auto report = m_fleet->loadReport();
    EXPECT_TRUE(status) << "the load generator did not exit";
    EXPECT_NE(status.value_or(0), violationExitStatus) << toText(report);
    EXPECT_EQ(status.value_or(0), 0) << m_fleet->logs();
    EXPECT_EQ(report["violations"].asUInt64(), 0U) << toText(report);
    EXPECT_GT(report["purchases"]["served"].asUInt64(), 0U) << toText(report);
    EXPECT_GT(totalOutcome(report, "served"), 0U);
    return report;
}

void FleetProcess::expectNoOverload()
{
    EXPECT_EQ(m_fleet->countOverloadCrashes(), 0U)
        << "an engine received more requests than its cold slots\n"
        << m_fleet->logs();
}

std::uint64_t FleetProcess::totalOutcome(const Json::Value &report, const std::string &outcome)
{
    std::uint64_t sum = 0;
    for (const auto &row : report["workspaces"])
        sum += row["outcomes"][outcome].asUInt64();
    return sum;
}

std::uint64_t FleetProcess::requestsStartedInZone(const std::string &zone) const
{
    std::uint64_t started = 0;
    for (std::size_t i = 0; i < m_fleet->engines().size(); ++i) {
        if (m_fleet->engines()[i].zone == zone)
            started += m_fleet->engineStats(i)["started"].asUInt64();
    }
    return started;
}

bool FleetProcess::waitForNewRequestsInZone(const std::string &zone) const
{
    const auto before = requestsStartedInZone(zone);
    return waitUntil([&] { return requestsStartedInZone(zone) > before; });
}

} // namespace berylridge::test
