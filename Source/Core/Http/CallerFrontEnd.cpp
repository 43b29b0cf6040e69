#include "Http/CallerFrontEnd.h"

#include "Common/Invariant.h"

#include <boost/beast/core/string.hpp>

#include <nlohmann/json.hpp>

namespace Pollenwind {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";

    std::optional<std::string_view> callerKey(const HttpRequest& request)
    {
        if (const auto authorization = request.header("Authorization")) {
            const auto scheme = authorization->substr(0, bearerPrefix.size());
            if (boost::beast::iequals(scheme, bearerPrefix)) {
                return authorization->substr(bearerPrefix.size());
            }
            return std::nullopt;
        }
        return request.header("X-Api-Key");
    }

    // A shorter text could match unrelated content of a request; issued keys are longer.
    constexpr std::size_t minSearchedKeyLength = 12;

    /// @return True if a part of the request that is forwarded to upstreams contains the caller's key.
    bool containsCallerKey(const HttpRequest& request)
    {
        const auto key = callerKey(request);
        if (!key || key->size() < minSearchedKeyLength) {
            return false;
        }
        const auto containsKey = [&](std::string_view text) { return text.find(*key) != std::string_view::npos; };
        return containsKey(request.target()) || containsKey(request.body)
            || containsKey(request.header("Idempotency-Key").value_or(""))
            || containsKey(request.header("Content-Type").value_or(""));
    }

    /// Collects the text of a response that is not streamed.
    class CollectingSink final : public TokenSink {
    public:
        explicit CollectingSink(HttpExchange& exchange)
            : m_exchange(exchange)
        {
        }

        Task<Outcome<void>> write(const TokenChunk& chunk) override
        {
            if (m_exchange.isDisconnected()) {
                co_return fail(ErrorCode::ConnectionLost, "the caller disconnected", RunState::Unknown);
            }
            m_text += chunk.text;
            ++m_tokens;
            co_return Outcome<void> {};
        }

        bool isCallerGone() override { return m_exchange.isDisconnected(); }
        const std::string& text() const { return m_text; }
        std::uint32_t tokens() const { return m_tokens; }

    private:
        HttpExchange& m_exchange;
        std::string m_text;
        std::uint32_t m_tokens = 0;
    };

    /// Sends tokens as server-sent events. The response head is sent with the first token, so that an earlier refusal
    /// can still have its own status.
    class StreamingSink final : public TokenSink {
    public:
        StreamingSink(HttpExchange& exchange, const CompletionRequest& request, CallerCodec::CompletionForm form)
            : m_exchange(exchange)
            , m_id(request.id)
            , m_model(request.service.value())
            , m_form(form)
        {
        }

        Task<Outcome<void>> write(const TokenChunk& chunk) override
        {
            if (m_exchange.isDisconnected()) {
                co_return fail(ErrorCode::ConnectionLost, "the caller disconnected", RunState::Unknown);
            }
            auto begun = co_await begin();
            if (!begun) {
                co_return begun;
            }
            ++m_tokens;
            co_return co_await m_exchange.writeChunk(CallerCodec::encodeTokenEvent(m_id, m_model, chunk, m_form));
        }

        Task<Outcome<void>> begin()
        {
            if (m_isStarted) {
                co_return Outcome<void> {};
            }
            m_isStarted = true;
            HttpAnswer head;
            head.contentType = "text/event-stream";
            head.headers = { { "Cache-Control", "no-store" }, { "X-Request-Id", m_id.value() } };
            co_return co_await m_exchange.beginStream(head);
        }

        bool isCallerGone() override { return m_exchange.isDisconnected(); }
        bool isStarted() const { return m_isStarted; }
        std::uint32_t tokens() const { return m_tokens; }

    private:
        HttpExchange& m_exchange;
        RequestId m_id;
        std::string m_model;
        CallerCodec::CompletionForm m_form;
        bool m_isStarted = false;
        std::uint32_t m_tokens = 0;
    };

    /// Counts a request as running while it exists.
    class RunningGuard {
    public:
        explicit RunningGuard(std::size_t& running)
            : m_running(running)
        {
            ++m_running;
        }
        ~RunningGuard() { --m_running; }
        RunningGuard(const RunningGuard&) = delete;
        RunningGuard& operator=(const RunningGuard&) = delete;

    private:
        std::size_t& m_running;
    };

} // namespace

CallerFrontEnd::CallerFrontEnd(CallerFrontEndContext context)
    : m_context(context)
{
}

HttpAnswer CallerFrontEnd::refusal(int status, std::string_view reason) const
{
    const auto code = status == 413 || status == 431 ? ErrorCode::TooLarge : ErrorCode::Malformed;
    auto answer = CallerCodec::encodeError(Error { code, std::string(reason) });
    answer.status = status;
    return answer;
}

HttpAnswer CallerFrontEnd::failure() const
{
    return CallerCodec::encodeError(Error { ErrorCode::Internal, "the request failed", RunState::Unknown });
}

Outcome<CallerIdentity> CallerFrontEnd::identify(const HttpRequest& request, RouteAccess access) const
{
    const auto key = callerKey(request);
    if (!key) {
        if (access == RouteAccess::Public) {
            return CallerIdentity {};
        }
        return fail(ErrorCode::KeyUnknown, "the request has no key");
    }
    const auto identity = m_context.keys.identify(*key);
    if (!identity) {
        m_context.metrics.count(identity.error().code == ErrorCode::KeyUnconfirmed ? Counter::KeyUnconfirmedRefusals
                                                                                   : Counter::KeyRefusals);
        // A public route needs no key, so a key that cannot be confirmed is ignored.
        if (access == RouteAccess::Public && identity.error().code == ErrorCode::KeyUnconfirmed) {
            return CallerIdentity {};
        }
        return std::unexpected(identity.error());
    }
    return CallerIdentity { identity->organisation, identity->digest };
}

Task<> CallerFrontEnd::handle(HttpExchange& exchange)
{
    const RunningGuard guard(m_running);
    m_context.metrics.count(Counter::Requests);
    const auto start = m_context.clock.now();
    const RequestId id(randomToken());
    const auto result = co_await route(exchange, id);
    m_context.metrics.observe(Distribution::RequestDuration, m_context.clock.now() - start);
    if (result) {
        m_context.metrics.count(Counter::RequestsCompleted);
        co_return;
    }
    const bool isRefused = result.error().runState == RunState::NotRun;
    m_context.metrics.count(isRefused ? Counter::RequestsRefused : Counter::RequestsFailed);
    co_await exchange.answer(CallerCodec::encodeError(result.error(), id.value()));
}

Task<Outcome<void>> CallerFrontEnd::route(HttpExchange& exchange, const RequestId& id)
{
    const auto& request = exchange.request();
    if (containsCallerKey(request)) {
        co_return fail(ErrorCode::Malformed, "the request contains its key outside of the header for it");
    }
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions") {
        if (request.method != "POST") {
            co_return fail(ErrorCode::MethodNotAllowed, "use POST");
        }
        const bool isChat = request.path == "/v1/chat/completions";
        co_return co_await complete(
            exchange, id, isChat ? CallerCodec::CompletionForm::Chat : CallerCodec::CompletionForm::Text);
    }
    if (request.path == "/health") {
        HttpAnswer answer;
        answer.body = "{\"status\":\"ok\"}\n";
        co_return co_await exchange.answer(answer);
    }
    const auto configuration = m_context.configuration.current();
    bool isPathKnown = false;
    for (const auto& [serviceId, service] : configuration->document.services) {
        for (const auto& route : service.routes) {
            if (route.path == request.path) {
                isPathKnown = true;
                if (route.method == request.method) {
                    co_return co_await callPlain(exchange, id, service, route);
                }
            }
        }
    }
    if (isPathKnown) {
        co_return fail(ErrorCode::MethodNotAllowed, "the route does not support " + request.method);
    }
    co_return fail(ErrorCode::NoRoute, "no route for " + request.path);
}

Task<Outcome<void>> CallerFrontEnd::complete(
    HttpExchange& exchange, const RequestId& id, CallerCodec::CompletionForm form)
{
    auto body = CallerCodec::decodeCompletion(exchange.request().body, form);
    // The key is checked before errors of the body are reported. The body is decoded first nevertheless, because the
    // service that it names decides whether a key is needed.
    const auto configuration = m_context.configuration.current();
    const auto service = configuration->document.services.find(ServiceId(body ? body->model : std::string()));
    const bool isModel
        = service != configuration->document.services.end() && service->second.kind == ServiceKind::Model;
    const auto caller = identify(exchange.request(), isModel ? service->second.access : RouteAccess::Keyed);
    if (!caller) {
        co_return std::unexpected(caller.error());
    }
    if (!body) {
        co_return std::unexpected(body.error());
    }
    if (!isModel) {
        co_return fail(ErrorCode::NoRoute, "no model named \"" + body->model + "\"");
    }
    CompletionRequest request;
    request.id = id;
    request.caller = *caller;
    request.service = service->first;
    request.route = form == CallerCodec::CompletionForm::Chat ? "chat" : "text";
    request.prompt = std::move(body->prompt);
    request.maxTokens = body->maxTokens;
    request.priority = body->priority;
    request.deadline = m_context.clock.now() + m_context.requestDeadline;
    if (body->isStream) {
        co_return co_await completeStreaming(exchange, std::move(request), form);
    }
    co_return co_await completeBuffered(exchange, std::move(request), form);
}

Task<Outcome<void>> CallerFrontEnd::completeBuffered(
    HttpExchange& exchange, CompletionRequest request, CallerCodec::CompletionForm form)
{
    CollectingSink sink(exchange);
    const auto id = request.id;
    const auto model = request.service.value();
    const auto summary = co_await m_context.completions.run(std::move(request), sink);
    if (!summary) {
        co_return std::unexpected(summary.error());
    }
    checkInvariant(
        sink.tokens() == summary->completionTokens, "a response is complete only if all its tokens were delivered");
    HttpAnswer answer;
    answer.body = CallerCodec::encodeFullResponse(id, model, sink.text(), *summary, form);
    answer.headers = { { "X-Request-Id", id.value() } };
    co_return co_await exchange.answer(answer);
}

Task<Outcome<void>> CallerFrontEnd::completeStreaming(
    HttpExchange& exchange, CompletionRequest request, CallerCodec::CompletionForm form)
{
    StreamingSink sink(exchange, request, form);
    const auto id = request.id;
    const auto model = request.service.value();
    const auto summary = co_await m_context.completions.run(std::move(request), sink);
    if (!summary && !sink.isStarted()) {
        co_return std::unexpected(summary.error());
    }
    if (!summary) {
        m_context.metrics.count(Counter::StreamsCut);
        m_context.metrics.count(Counter::RequestsFailed);
        const auto written = co_await exchange.writeChunk(CallerCodec::encodeErrorEvent(id, summary.error()));
        if (written) {
            co_await exchange.endStream();
        }
        co_return Outcome<void> {};
    }
    checkInvariant(sink.tokens() == summary->completionTokens, "[DONE] is sent only after a complete response");
    auto begun = co_await sink.begin();
    if (begun) {
        begun = co_await exchange.writeChunk(CallerCodec::encodeEndEvents(id, model, *summary, form));
    }
    if (begun) {
        begun = co_await exchange.endStream();
    }
    co_return begun;
}

Task<Outcome<void>> CallerFrontEnd::callPlain(
    HttpExchange& exchange, const RequestId& id, const ServiceSpec& service, const RouteSpec& route)
{
    const auto& http = exchange.request();
    const auto caller = identify(http, route.access);
    if (!caller) {
        co_return std::unexpected(caller.error());
    }
    PlainRequest request;
    request.id = id;
    request.caller = *caller;
    request.service = service.id;
    request.kind = route.call;
    request.costTokens = route.costTokens;
    request.method = http.method;
    request.target = http.target();
    request.contentType = http.header("Content-Type").value_or("");
    request.idempotencyKey = http.header("Idempotency-Key").value_or("");
    request.body = http.body;
    request.deadline = m_context.clock.now() + m_context.requestDeadline;
    const auto answer = co_await m_context.plain.run(std::move(request));
    if (!answer) {
        co_return std::unexpected(answer.error());
    }
    HttpAnswer response;
    response.status = answer->status;
    response.contentType = answer->contentType;
    response.body = answer->body;
    response.headers.emplace_back("X-Request-Id", id.value());
    co_return co_await exchange.answer(response);
}

} // namespace Pollenwind
