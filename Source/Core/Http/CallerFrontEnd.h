#pragma once

#include "Common/Clock.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Dispatch/Commands/CompletionCommands.h"
#include "Dispatch/Commands/PlainCommands.h"
#include "Http/CallerCodec.h"
#include "Keys/Queries/KeyQueries.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Transport/HttpServer.h"

#include <cstddef>

namespace Pollenwind {

/// Dependencies of the caller front end. All references must outlive it.
struct CallerFrontEndContext {
    const Clock& clock;
    const ConfigurationQueries& configuration;
    const KeyQueries& keys;
    CompletionCommands& completions;
    PlainCommands& plain;
    MetricCommands& metrics;
    std::chrono::nanoseconds requestDeadline { std::chrono::seconds(120) };
};

/// Public HTTP interface: OpenAI-compatible completions and the routes of plain services.
class CallerFrontEnd final : public HttpHandler {
public:
    explicit CallerFrontEnd(CallerFrontEndContext context);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view reason) const override;
    HttpAnswer failure() const override;

    /// @return Number of requests that are running now.
    std::size_t runningRequests() const { return m_running; }

private:
    Outcome<CallerIdentity> identify(const HttpRequest& request, RouteAccess access) const;
    Task<Outcome<void>> route(HttpExchange& exchange, const RequestId& id);
    Task<Outcome<void>> complete(HttpExchange& exchange, const RequestId& id, CallerCodec::CompletionForm form);
    Task<Outcome<void>> completeBuffered(
        HttpExchange& exchange, CompletionRequest request, CallerCodec::CompletionForm form);
    Task<Outcome<void>> completeStreaming(
        HttpExchange& exchange, CompletionRequest request, CallerCodec::CompletionForm form);
    Task<Outcome<void>> callPlain(
        HttpExchange& exchange, const RequestId& id, const ServiceSpec& service, const RouteSpec& route);

    CallerFrontEndContext m_context;
    std::size_t m_running = 0;
};

} // namespace Pollenwind
