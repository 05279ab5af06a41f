// Tests parsing and formatting of endpoints.
#include "berylridge/Support/Endpoint.h"

#include <gtest/gtest.h>

using namespace berylridge;

TEST(Endpoint, ParsesIpv4AndIpv6)
{
    for (const std::string text : {"10.0.1.7:7400", "[fd00::7]:1", "127.0.0.1:65535"}) {
        const auto endpoint = parseEndpoint(text);
        ASSERT_TRUE(endpoint) << text;
        EXPECT_EQ(endpointText(*endpoint), text);
    }
}

TEST(Endpoint, RejectsInvalidText)
{
    for (const std::string text : {"", ":", "10.0.1.7", "10.0.1.7:", "10.0.1.7:0", "10.0.1.7:70000",
                                   "10.0.1.7:7x", "host:80", "fd00::7:1", "[10.0.1.7]:1", "[]:1"})
        EXPECT_FALSE(parseEndpoint(text)) << text;
}
