#include <oleandercross/daemon/manifestfollower.h>

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/config/manifestdelta.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

namespace {

config::Manifest manifest(const std::string &drained)
{
    config::Manifest result;
    result.drainWorkers = {core::WorkerId(drained)};
    return result;
}

Json::Value fullUpdate(std::int64_t revision, const config::Manifest &content)
{
    Json::Value update;
    update["revision"] = static_cast<Json::Int64>(revision);
    update["manifest"] = config::encode(content);
    return update;
}

Json::Value deltaUpdate(std::int64_t from, const config::Manifest &base, std::int64_t to,
                        const config::Manifest &target)
{
    Json::Value update;
    update["delta"] = config::encode(config::deltaBetween(base, from, target, to));
    return update;
}

} // namespace

// Guards against a decreasing revision after full manifests or deltas that arrive late.
TEST_CASE("the revision of a follower never decreases")
{
    daemon::ManifestFollower follower;
    REQUIRE(follower.apply(fullUpdate(3, manifest("a"))));
    REQUIRE(follower.apply(deltaUpdate(3, manifest("a"), 5, manifest("b"))));
    CHECK(follower.revision() == 5);
    CHECK(*follower.manifest() == manifest("b"));
    CHECK_FALSE(follower.apply(fullUpdate(4, manifest("c"))));
    CHECK_FALSE(follower.apply(deltaUpdate(3, manifest("a"), 4, manifest("c"))));
    CHECK(follower.revision() == 5);
    CHECK(*follower.manifest() == manifest("b"));
}

// Guards against a delta applied to the wrong base, and against a follower that stays outdated.
TEST_CASE("a follower requests the full manifest after a delta with a different base")
{
    daemon::ManifestFollower follower;
    REQUIRE(follower.apply(fullUpdate(1, manifest("a"))));
    CHECK(follower.base() == 1);
    CHECK_FALSE(follower.apply(deltaUpdate(2, manifest("x"), 3, manifest("b"))));
    CHECK(follower.base() == 0);
    CHECK(follower.apply(fullUpdate(3, manifest("b"))));
    CHECK(follower.base() == 3);
}
