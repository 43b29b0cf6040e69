#pragma once

#include "Metrics/Queries/MetricQueries.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <string>

namespace Pollenwind {

/// Serves the readiness check of the load balancer and the metrics.
class StatusFrontEnd final : public HttpHandler {
public:
    /// @param readyPath Path of the readiness check.
    /// @param isReady Whether this VM accepts callers.
    StatusFrontEnd(std::string readyPath, const MetricQueries& metrics, std::function<bool()> isReady)
        : m_readyPath(std::move(readyPath))
        , m_metrics(metrics)
        , m_isReady(std::move(isReady))
    {
    }

    Task<> handle(HttpExchange& exchange) override
    {
        const auto& path = exchange.request().path;
        HttpAnswer answer { 404, "text/plain", "not found\n", {} };
        if (path == m_readyPath) {
            const bool isReady = m_isReady();
            answer = { isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n", {} };
        } else if (path == "/metrics") {
            answer = { 200, "text/plain; version=0.0.4", m_metrics.prometheusText(), {} };
        }
        co_await exchange.answer(answer);
    }

    HttpAnswer refusal(int status, std::string_view reason) const override
    {
        return { status, "text/plain", std::string(reason) + "\n", {} };
    }

private:
    std::string m_readyPath;
    const MetricQueries& m_metrics;
    std::function<bool()> m_isReady;
};

} // namespace Pollenwind
