#pragma once

#include "Support/ServingFixture.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace Pollenwind {

/// Response to one call as received by the caller.
struct CallerView {
    int status = 0;
    std::string text;
    bool isDone = false;
    bool isComplete = false;
    nlohmann::json error;
    std::string body;
    std::string requestId;

    std::string run() const { return error.is_object() ? error.value("run", "") : std::string(); }
    std::string code() const { return error.is_object() ? error.value("code", "") : std::string(); }
};

inline HttpRequest streamRequest(const std::string& prompt, std::uint32_t maxTokens)
{
    const nlohmann::json body
        = { { "model", "fitter" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", true } };
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = { { "Content-Type", "application/json" },
        { "Authorization", "Bearer " + std::string(ServingFixture::callerKey) } };
    request.body = body.dump();
    return request;
}

inline HttpRequest bookingRequest(const std::string& idempotencyKey)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/bookings";
    request.headers = { { "Content-Type", "application/json" },
        { "Authorization", "Bearer " + std::string(ServingFixture::callerKey) } };
    if (!idempotencyKey.empty()) {
        request.headers.emplace_back("Idempotency-Key", idempotencyKey);
    }
    request.body = R"({"for":")" + idempotencyKey + "\"}";
    return request;
}

/// Parses the server-sent events in the body.
inline void readEvents(CallerView& view)
{
    std::size_t start = 0;
    for (auto end = view.body.find("\n\n"); end != std::string::npos; end = view.body.find("\n\n", start)) {
        const auto block = view.body.substr(start, end - start);
        start = end + 2;
        if (block == "data: [DONE]") {
            view.isDone = true;
            continue;
        }
        const auto json = nlohmann::json::parse(block.substr(std::string_view("data: ").size()), nullptr, false);
        if (json.contains("error")) {
            view.error = json["error"];
        } else if (json.contains("choices")) {
            view.text += json["choices"][0].value("text", "");
        }
    }
}

/// Sends a call and reads the response.
/// @param onPart Called after each part of the body; if it returns false, the caller disconnects.
inline Task<CallerView> callRouter(
    Endpoint endpoint, HttpRequest request, std::function<bool(const std::string&)> onPart = {})
{
    CallerView view;
    HttpConnection connection(co_await asio::this_coro::executor);
    if (!co_await connection.connect(endpoint, std::chrono::seconds(10))) {
        co_return view;
    }
    const auto head = co_await connection.send(request, std::chrono::seconds(40));
    if (!head) {
        co_return view;
    }
    view.status = head->status;
    view.requestId = findHeader(head->headers, "X-Request-Id").value_or("");
    for (;;) {
        const auto part = co_await connection.readSome(std::chrono::seconds(40));
        if (!part || part->empty()) {
            view.isComplete = part.has_value();
            break;
        }
        view.body += *part;
        if (onPart && !onPart(view.body)) {
            co_return view;
        }
    }
    if (view.status != 200) {
        const auto json = nlohmann::json::parse(view.body, nullptr, false);
        view.error = json.is_object() ? json.value("error", nlohmann::json()) : nlohmann::json();
        view.requestId = view.error.is_object() ? view.error.value("request_id", "") : std::string();
    } else if (request.path.starts_with("/v1/")) {
        readEvents(view);
    }
    co_return view;
}

} // namespace Pollenwind
