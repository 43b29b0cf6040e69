#include "Http/CallerCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Pollenwind::CallerCodec {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint32_t defaultMaxTokens = 256;
    // Limits the memory of the parsed tree: each level takes about 64 bytes for one byte of input.
    constexpr std::size_t maxBodyDepth = 64;
    // Longest service name that a service document allows.
    constexpr std::size_t maxModelName = 64;
    constexpr int maxPriority = 100;

    struct StatusRow {
        ErrorCode code;
        int status;
    };

    constexpr std::array statusRows {
        StatusRow { ErrorCode::Malformed, 400 },
        StatusRow { ErrorCode::KeyUnknown, 401 },
        StatusRow { ErrorCode::KeyWithdrawn, 401 },
        StatusRow { ErrorCode::Forbidden, 403 },
        StatusRow { ErrorCode::NoRoute, 404 },
        StatusRow { ErrorCode::NotFound, 404 },
        StatusRow { ErrorCode::MethodNotAllowed, 405 },
        StatusRow { ErrorCode::InProgress, 409 },
        StatusRow { ErrorCode::OutcomeUnknown, 502 },
        StatusRow { ErrorCode::Conflict, 409 },
        StatusRow { ErrorCode::TooLarge, 413 },
        StatusRow { ErrorCode::RequestExceedsBurst, 413 },
        StatusRow { ErrorCode::RateExceeded, 429 },
        StatusRow { ErrorCode::DeadlineExceeded, 504 },
        StatusRow { ErrorCode::ConnectionLost, 502 },
        StatusRow { ErrorCode::ProtocolError, 502 },
        StatusRow { ErrorCode::Mismatch, 502 },
    };

    int statusOf(ErrorCode code)
    {
        for (const auto& row : statusRows) {
            if (row.code == code) {
                return row.status;
            }
        }
        return 503;
    }

    Json errorObject(const Error& error, std::string_view request)
    {
        Json object
            = { { "code", nameOf(error.code) }, { "message", error.message }, { "run", nameOf(error.runState) } };
        if (!request.empty()) {
            object["request_id"] = request;
        }
        return { { "error", object } };
    }

    std::string dump(const Json& json)
    {
        // A token may end within a UTF-8 character. Replaces invalid bytes instead of throwing.
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    std::string event(const Json& json) { return "data: " + dump(json) + "\n\n"; }

    std::string_view objectName(CompletionForm form, bool isChunk)
    {
        if (form == CompletionForm::Chat) {
            return isChunk ? "chat.completion.chunk" : "chat.completion";
        }
        return "text_completion";
    }

    Json envelope(const RequestId& request, std::string_view model, CompletionForm form, bool isChunk, Json choice)
    {
        choice["index"] = 0;
        return { { "id", request.value() }, { "object", objectName(form, isChunk) }, { "model", model },
            { "choices", Json::array({ std::move(choice) }) } };
    }

    Json usage(const CompletionSummary& summary)
    {
        return { { "prompt_tokens", summary.promptTokens }, { "completion_tokens", summary.completionTokens },
            { "total_tokens", summary.promptTokens + summary.completionTokens },
            { "prompt_tokens_details", { { "cached_tokens", summary.cachedTokens } } } };
    }

    std::unexpected<Error> malformed(std::string text) { return fail(ErrorCode::Malformed, std::move(text)); }

    bool isNestedTooDeep(std::string_view body)
    {
        std::size_t depth = 0;
        bool isInString = false;
        for (std::size_t i = 0; i < body.size(); ++i) {
            const char c = body[i];
            if (isInString) {
                i += c == '\\' ? 1 : 0;
                isInString = c != '"';
            } else if (c == '"') {
                isInString = true;
            } else if (c == '{' || c == '[') {
                if (++depth > maxBodyDepth) {
                    return true;
                }
            } else if ((c == '}' || c == ']') && depth > 0) {
                --depth;
            }
        }
        return false;
    }

    Outcome<Json> readObject(std::string_view body)
    {
        // The parser treats a NUL byte as the end of the body and would ignore what follows.
        if (body.find('\0') != std::string_view::npos) {
            return malformed("the body holds a NUL byte");
        }
        if (isNestedTooDeep(body)) {
            return malformed("the body is nested deeper than " + std::to_string(maxBodyDepth) + " levels");
        }
        auto json = Json::parse(body, nullptr, false);
        if (!json.is_object()) {
            return malformed("the body must be a JSON object");
        }
        return json;
    }

    Outcome<std::string> readModel(const Json& json)
    {
        const auto it = json.find("model");
        if (it == json.end() || !it->is_string()) {
            return malformed("\"model\" must be a string");
        }
        auto model = it->get<std::string>();
        if (model.empty() || model.size() > maxModelName) {
            return malformed("\"model\" must have 1 to " + std::to_string(maxModelName) + " characters");
        }
        return model;
    }

    Outcome<bool> readStream(const Json& json)
    {
        const auto it = json.find("stream");
        if (it == json.end() || it->is_null()) {
            return false;
        }
        if (!it->is_boolean()) {
            return malformed("\"stream\" must be true or false");
        }
        return it->get<bool>();
    }

    Outcome<int> readPriority(const Json& json)
    {
        const auto it = json.find("priority");
        if (it == json.end() || it->is_null()) {
            return 0;
        }
        // Unsigned values are compared as unsigned, because a large one would convert to a small negative one.
        const bool isInRange = it->is_number_unsigned()
            ? it->get<std::uint64_t>() <= static_cast<std::uint64_t>(maxPriority)
            : it->is_number_integer() && it->get<std::int64_t>() >= -maxPriority
                && it->get<std::int64_t>() <= maxPriority;
        if (!isInRange) {
            return malformed("\"priority\" must be a whole number from -100 to 100");
        }
        return it->get<int>();
    }

    Outcome<std::string> readMessages(const Json& json)
    {
        const auto it = json.find("messages");
        if (it == json.end() || !it->is_array() || it->empty()) {
            return malformed("\"messages\" must be a non-empty array");
        }
        std::string prompt;
        for (const auto& message : *it) {
            const bool isText = message.is_object() && message.contains("role") && message["role"].is_string()
                && message.contains("content") && message["content"].is_string();
            if (!isText) {
                return malformed("each message needs the strings \"role\" and \"content\"");
            }
            prompt += message["role"].get_ref<const std::string&>() + ": ";
            prompt += message["content"].get_ref<const std::string&>() + "\n";
        }
        return prompt;
    }

    Outcome<std::string> readPrompt(const Json& json)
    {
        const auto it = json.find("prompt");
        if (it == json.end() || !it->is_string()) {
            return malformed("\"prompt\" must be a string");
        }
        return it->get<std::string>();
    }

    Outcome<std::uint32_t> readMaxTokens(const Json& json)
    {
        for (const char* name : { "max_completion_tokens", "max_tokens" }) {
            const auto it = json.find(name);
            if (it == json.end() || it->is_null()) {
                continue;
            }
            if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0 || it->get<std::uint64_t>() > 1'000'000) {
                return malformed("\"" + std::string(name) + "\" must be a whole number from 1 to 1000000");
            }
            return it->get<std::uint32_t>();
        }
        return defaultMaxTokens;
    }

} // namespace

Outcome<CompletionBody> decodeCompletion(std::string_view body, CompletionForm form)
{
    const auto json = readObject(body);
    if (!json) {
        return std::unexpected(json.error());
    }
    auto model = readModel(*json);
    if (!model) {
        return std::unexpected(model.error());
    }
    auto prompt = form == CompletionForm::Chat ? readMessages(*json) : readPrompt(*json);
    if (!prompt) {
        return std::unexpected(prompt.error());
    }
    const auto maxTokens = readMaxTokens(*json);
    if (!maxTokens) {
        return std::unexpected(maxTokens.error());
    }
    const auto stream = readStream(*json);
    if (!stream) {
        return std::unexpected(stream.error());
    }
    const auto priority = readPriority(*json);
    if (!priority) {
        return std::unexpected(priority.error());
    }
    return CompletionBody { std::move(*model), std::move(*prompt), *maxTokens, *stream, *priority };
}

std::string encodeTokenEvent(
    const RequestId& request, std::string_view model, const TokenChunk& chunk, CompletionForm form)
{
    Json choice = { { "finish_reason", nullptr } };
    if (form == CompletionForm::Chat) {
        choice["delta"] = { { "content", chunk.text } };
        if (chunk.index == 0) {
            choice["delta"]["role"] = "assistant";
        }
    } else {
        choice["text"] = chunk.text;
    }
    return event(envelope(request, model, form, true, std::move(choice)));
}

std::string encodeEndEvents(
    const RequestId& request, std::string_view model, const CompletionSummary& summary, CompletionForm form)
{
    Json choice = { { "finish_reason", summary.finishReason } };
    if (form == CompletionForm::Chat) {
        choice["delta"] = Json::object();
    } else {
        choice["text"] = "";
    }
    auto lastEvent = envelope(request, model, form, true, std::move(choice));
    lastEvent["usage"] = usage(summary);
    return event(lastEvent) + "data: [DONE]\n\n";
}

std::string encodeErrorEvent(const RequestId& request, const Error& error)
{
    return event(errorObject(error, request.value()));
}

std::string encodeFullResponse(const RequestId& request, std::string_view model, std::string_view text,
    const CompletionSummary& summary, CompletionForm form)
{
    Json choice = { { "finish_reason", summary.finishReason } };
    if (form == CompletionForm::Chat) {
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    } else {
        choice["text"] = text;
    }
    auto response = envelope(request, model, form, false, std::move(choice));
    response["usage"] = usage(summary);
    return dump(response);
}

HttpAnswer encodeError(const Error& error, std::string_view request)
{
    HttpAnswer answer;
    answer.status = statusOf(error.code);
    answer.body = dump(errorObject(error, request)) + "\n";
    if (error.retryAfter) {
        const auto seconds = std::max<std::int64_t>(1, (error.retryAfter->count() + 999) / 1000);
        answer.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    if (answer.status == 401) {
        answer.headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    return answer;
}

} // namespace Pollenwind::CallerCodec
