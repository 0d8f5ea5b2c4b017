#include <oleandercross/http/message.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

// Guards against an address that is understood differently where it is read and where it is used.
TEST_CASE("endpoints are parsed from the format in which they are written")
{
    const std::string text = GENERATE(as<std::string>(), "127.0.0.1:1", "10.0.0.9:65535",
                                      "[::1]:8080", "[2001:db8::2]:80");
    const auto endpoint = http::parseEndpoint(text);
    REQUIRE(endpoint);
    CHECK(toString(*endpoint) == text);
    CHECK(http::isUnicast(*endpoint));
    const std::string bad = GENERATE(
        as<std::string>(), "", ":", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536",
        "10.0.0.9:-1", "10.0.0.9:+80", "10.0.0.9: 80", "10.0.0.9:80 ", "10.0.0.9:8e3",
        "10.0.0.9:99999999999", "host:80", "10.0.0:80", "[10.0.0.9]:80", "1::2:80", "[::1:80",
        "[::1]80", std::string("10.0.0.9\0x:80", 13), std::string("10.0.0.9:80\0", 12));
    CAPTURE(bad);
    CHECK_FALSE(http::parseEndpoint(bad));
}

// Guards against calls that reach the own machine, or several, instead of a peer.
TEST_CASE("unspecified, broadcast and multicast addresses are not unicast")
{
    const std::string text = GENERATE(as<std::string>(), "0.0.0.0:80", "255.255.255.255:80",
                                      "224.0.0.1:80", "[::]:80", "[ff02::1]:80");
    CAPTURE(text);
    const auto endpoint = http::parseEndpoint(text);
    REQUIRE(endpoint);
    CHECK_FALSE(http::isUnicast(*endpoint));
}
