#include "Soak/SoakClient.h"

#include "Common/Sleep.h"
#include "StandIn/EngineStandIn.h"

#include <nlohmann/json.hpp>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::seconds requestTimeout { 30 };
    constexpr std::chrono::seconds withdrawalLimit { 5 };
    constexpr int bookingAttempts = 4;

    struct ParsedStream {
        std::string text;
        std::uint32_t tokens = 0;
        bool isDone = false;
        bool isError = false;
        std::string errorCode;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
    };

    ParsedStream parseStream(std::string_view body)
    {
        ParsedStream stream;
        while (!body.empty()) {
            const auto end = body.find("\n\n");
            const auto block = body.substr(0, end);
            body = end == std::string_view::npos ? std::string_view() : body.substr(end + 2);
            if (!block.starts_with("data: ")) {
                continue;
            }
            const auto data = block.substr(6);
            if (data == "[DONE]") {
                stream.isDone = true;
                continue;
            }
            const auto json = Json::parse(data, nullptr, false);
            if (!json.is_object()) {
                continue;
            }
            if (json.contains("error")) {
                stream.isError = true;
                stream.errorCode = json["error"].value("code", "");
                continue;
            }
            const auto text = json["choices"][0].value("text", "");
            stream.text += text;
            stream.tokens += text.empty() ? 0 : 1;
            if (json.contains("usage")) {
                stream.promptTokens = json["usage"].value("prompt_tokens", 0U);
                stream.cachedTokens = json["usage"]["prompt_tokens_details"].value("cached_tokens", 0U);
            }
        }
        return stream;
    }

} // namespace

SoakClient::SoakClient(
    asio::any_io_executor executor, const SoakOptions& options, SoakKeys& keys, SoakReport& report, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_options(options)
    , m_keys(keys)
    , m_report(report)
    , m_random(seed)
    , m_name("client-" + std::to_string(seed))
{
}

Task<> SoakClient::run(SteadyClock::time_point end)
{
    while (SteadyClock::now() < end) {
        if (m_random() % 8 == 0) {
            co_await sendBooking();
        } else {
            co_await sendCompletion();
        }
        co_await sleepFor(std::chrono::milliseconds(m_random() % 60));
    }
}

const SoakRouter& SoakClient::pickRouter() { return m_options.routers[m_random() % m_options.routers.size()]; }

std::string SoakClient::makePrompt()
{
    // Three nested levels of shared prefixes (manual, range, vehicle), followed by a question unique to the request.
    const auto manual = m_random() % 3;
    const auto range = m_random() % 4;
    const auto vehicle = m_random() % 6;
    std::string prompt;
    for (const auto& [name, part] :
        { std::pair("manual", manual), std::pair("range", range), std::pair("vehicle", vehicle) }) {
        const auto line = std::string(name) + " " + std::to_string(manual) + "." + std::to_string(part) + " text. ";
        for (int i = 0; i < 40; ++i) {
            prompt += line;
        }
    }
    return prompt + " question " + m_name + "/" + std::to_string(m_number);
}

Task<SoakClient::Response> SoakClient::send(const SoakRouter& router, HttpRequest request)
{
    Response response;
    HttpConnection connection(m_executor);
    const auto start = SteadyClock::now();
    if (!co_await connection.connect(router.callers, requestTimeout)) {
        co_return response;
    }
    const auto head = co_await connection.send(request, requestTimeout);
    if (!head) {
        co_return response;
    }
    response.isConnected = true;
    response.status = head->status;
    for (;;) {
        const auto part = co_await connection.readSome(requestTimeout);
        if (!part) {
            co_return response;
        }
        if (part->empty()) {
            response.isComplete = true;
            co_return response;
        }
        if (response.body.empty()) {
            response.firstByte = SteadyClock::now() - start;
        }
        response.body += *part;
    }
}

Task<> SoakClient::sendCompletion()
{
    ++m_number;
    ++m_report.requests;
    const auto prompt = makePrompt();
    const auto key = m_keys.keys()[m_random() % m_keys.keys().size()];
    const bool isStream = m_random() % 2 == 0;
    const Json body = { { "model", m_options.model }, { "prompt", prompt }, { "max_tokens", m_options.maxTokens },
        { "stream", isStream } };
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers.emplace_back("Authorization", "Bearer " + key.key);
    request.body = body.dump();
    const auto sentAt = SteadyClock::now();
    const auto response = co_await send(pickRouter(), std::move(request));
    checkKey(key, response, sentAt);
    const bool isKeyValid = !key.withdrawnAt;
    if (isKeyValid) {
        ++m_report.requestsByOrganisation[key.organisation];
    }
    if (!response.isConnected) {
        ++m_report.connectionsLost;
        co_return;
    }
    if (response.status != 200) {
        recordRefusal(response);
        co_return;
    }
    if (isStream) {
        checkStream(prompt, response, key);
        co_return;
    }
    if (!response.isComplete) {
        ++m_report.connectionsLost;
        co_return;
    }
    const auto json = Json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("choices")) {
        checkCompleteText(prompt, json["choices"][0].value("text", ""), json["usage"].value("completion_tokens", 0U));
        ++m_report.completed;
        ++m_report.completedByOrganisation[key.organisation];
    }
}

void SoakClient::checkStream(const std::string& prompt, const Response& response, const SoakKey& key)
{
    const auto stream = parseStream(response.body);
    check(SoakGuarantee::CutStreamsLookIncomplete, !stream.isDone || (response.isComplete && !stream.isError),
        "stream contains [DONE] although it was truncated or reported an error");
    if (!response.isComplete) {
        ++m_report.connectionsLost;
    }
    if (stream.isError) {
        ++m_report.errorEvents;
        ++m_report.codes[stream.errorCode];
    }
    // The text received so far must be correct, also when the stream is incomplete.
    std::string expected;
    for (std::uint32_t i = 0; i < stream.tokens; ++i) {
        expected += EngineStandIn::tokenText(prompt, VersionId(m_options.version), i);
    }
    check(SoakGuarantee::ResponsesMatchRequests, stream.text == expected,
        "text of a stream differs from the expected one");
    if (stream.isDone) {
        check(SoakGuarantee::StreamsComplete, stream.tokens == m_options.maxTokens,
            "stream with [DONE] has the wrong length of " + std::to_string(stream.tokens) + " tokens");
        ++m_report.completed;
        ++m_report.completedByOrganisation[key.organisation];
        m_report.promptTokens += stream.promptTokens;
        m_report.cachedTokens += stream.cachedTokens;
        m_report.firstTokenMilliseconds.push_back(
            std::chrono::duration<double, std::milli>(response.firstByte).count());
    }
}

void SoakClient::checkCompleteText(const std::string& prompt, const std::string& text, std::uint32_t tokens)
{
    std::string expected;
    for (std::uint32_t i = 0; i < m_options.maxTokens; ++i) {
        expected += EngineStandIn::tokenText(prompt, VersionId(m_options.version), i);
    }
    check(SoakGuarantee::StreamsComplete, tokens == m_options.maxTokens,
        "complete response has the wrong number of tokens");
    check(SoakGuarantee::ResponsesMatchRequests, text == expected,
        "text of a complete response differs from the expected one");
}

void SoakClient::checkKey(const SoakKey& key, const Response& response, SteadyClock::time_point sentAt)
{
    if (!key.withdrawnAt || !response.isConnected) {
        return;
    }
    const bool isLate = sentAt > *key.withdrawnAt + withdrawalLimit;
    if (isLate) {
        check(SoakGuarantee::WithdrawnKeysStop, response.status != 200, "a key was accepted after its withdrawal");
    }
}

void SoakClient::recordRefusal(const Response& response)
{
    ++m_report.refused;
    const auto json = Json::parse(response.body, nullptr, false);
    const auto code = json.is_object() ? json.value("error", Json::object()).value("code", "none") : "none";
    ++m_report.codes[code];
}

Task<> SoakClient::sendBooking()
{
    const auto id = m_name + "/booking-" + std::to_string(++m_number);
    const auto key = m_keys.keys()[m_random() % m_keys.keys().size()];
    bool isNotRun = true;
    // Retries with the same idempotency key through random routers, as a caller does whose response was lost.
    for (int i = 0; i < bookingAttempts; ++i) {
        ++m_report.requests;
        HttpRequest request;
        request.method = "POST";
        request.path = "/bookings";
        request.headers.emplace_back("Authorization", "Bearer " + key.key);
        request.headers.emplace_back("Idempotency-Key", id);
        request.headers.emplace_back("Content-Type", "application/json");
        request.body = "{\"booking\":\"" + id + "\"}";
        const auto sentAt = SteadyClock::now();
        const auto response = co_await send(pickRouter(), std::move(request));
        checkKey(key, response, sentAt);
        if (response.isConnected && response.isComplete && response.status == 200) {
            ++m_report.completed;
            co_return;
        }
        if (!response.isConnected || !response.isComplete) {
            ++m_report.connectionsLost;
            isNotRun = false;
        } else {
            recordRefusal(response);
            const auto json = Json::parse(response.body, nullptr, false);
            const auto run = json.is_object() ? json.value("error", Json::object()).value("run", "") : "";
            isNotRun = isNotRun && run == "not-run";
        }
        co_await sleepFor(std::chrono::milliseconds(100));
    }
    if (isNotRun) {
        m_notRunCalls.push_back(id);
    }
}

void SoakClient::check(SoakGuarantee guarantee, bool holds, const std::string& example)
{
    m_report.recordCheck(guarantee, holds, example + " (" + m_name + "/" + std::to_string(m_number) + ")");
}

} // namespace Pollenwind
