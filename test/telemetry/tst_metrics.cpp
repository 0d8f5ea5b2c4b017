#include <oleandercross/telemetry/metrics.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace oleandercross;

TEST_CASE("metrics are printed one per line in the order of their names")
{
    telemetry::Metrics metrics;
    metrics.add("requests{code=\"0\"}");
    metrics.add("requests{code=\"0\"}", 2);
    metrics.set("queued", 7);
    metrics.set("queued", 5);
    CHECK(metrics.value("requests{code=\"0\"}") == 3);
    CHECK(metrics.value("queued") == 5);
    CHECK(metrics.value("missing") == 0);
    CHECK(metrics.text() == "queued 5\nrequests{code=\"0\"} 3\n");
}

TEST_CASE("distributions are printed as count, mean, maximum and quantiles")
{
    telemetry::Metrics metrics;
    for (int i = 1; i <= 1000; ++i)
        metrics.observe("wait", absl::Milliseconds(i));
    const std::string text = metrics.text();
    CHECK(text.find("wait_count 1000\n") != std::string::npos);
    CHECK(text.find("wait_mean 0.500500\n") != std::string::npos);
    CHECK(text.find("wait_max 1.000000\n") != std::string::npos);
    const auto quantile = [&text](const std::string &label) {
        const std::string name = "wait{quantile=\"" + label + "\"} ";
        const auto at = text.find(name);
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size()));
    };
    CHECK(quantile("0.5") == Approx(0.5).margin(0.02));
    CHECK(quantile("0.9") == Approx(0.9).margin(0.02));
    CHECK(quantile("0.99") == Approx(0.99).margin(0.02));
}

// Quantile estimates are undefined for a few values; "nan" or "inf" in the output would break the
// parsers of the metrics.
TEST_CASE("a distribution of few values prints finite numbers")
{
    const int count = GENERATE(1, 2, 3, 5);
    CAPTURE(count);
    telemetry::Metrics metrics;
    for (int i = 0; i < count; ++i)
        metrics.observe("wait", absl::Milliseconds(10));
    const std::string text = metrics.text();
    CAPTURE(text);
    CHECK(text.find("nan") == std::string::npos);
    CHECK(text.find("inf") == std::string::npos);
    CHECK(text.find("wait{quantile=\"0.5\"} 0.010000\n") != std::string::npos);
    CHECK(text.find("wait{quantile=\"0.99\"} 0.010000\n") != std::string::npos);
}

// Guards against values that are lost or counted twice when shards are merged.
TEST_CASE("threads add to the same metrics")
{
    telemetry::Metrics metrics;
    std::vector<std::thread> threads;
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&metrics] {
            for (int i = 0; i < 1000; ++i) {
                metrics.add("total");
                metrics.observe("wait", absl::Milliseconds(2));
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(metrics.value("total") == 8000);
    CHECK(metrics.text().find("wait_count 8000\nwait_mean 0.002000\n") != std::string::npos);
}
