// Tests which responses the client of berylload reads.
#include "HttpCall.h"

#include "Outcome.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

using namespace berylridge;

namespace {

using tcp = boost::asio::ip::tcp;

/// Returns how the client classifies the text as the response to a call whose body is "whole".
Outcome outcomeOf(const std::string &text)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const std::jthread server([&] {
        tcp::socket socket = acceptor.accept();
        boost::asio::streambuf request;
        boost::asio::read_until(socket, request, "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(text));
    });
    CallSpec spec;
    spec.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
    return classifyResponse(fetch(std::move(spec)), "whole", true);
}

std::string withHead(const std::string &head)
{
    return "HTTP/1.1 " + head + "\r\nContent-Length: 5\r\n\r\nwhole";
}

} // namespace

// Guards against a broken response that a report counts as served or as an error of its target.
TEST(HttpCallTest, BrokenResponseIsNoResponse)
{
    for (const char *head :
         {"000 Odd", "042 Odd", "600 Odd", "999 Odd", "200 OK\r\nX-A: 1\r\n 2", "200 OK\r\nX A: 1"})
        EXPECT_EQ(outcomeOf(withHead(head)), Outcome::NoResponse) << head;
    EXPECT_EQ(outcomeOf(withHead("200 OK")), Outcome::Served);
}
