#include "Http/AdminFrontEnd.h"

#include "Common/Digest.h"
#include "Http/CallerCodec.h"

namespace Pollenwind {

namespace {

    constexpr std::string_view queryPrefix = "/admin/queries/";
    constexpr std::string_view commandPrefix = "/admin/commands/";

} // namespace

AdminFrontEnd::AdminFrontEnd(std::string token)
    : m_token(std::move(token))
{
}

void AdminFrontEnd::addQuery(std::string name, AdminQuery& query) { m_queries.emplace(std::move(name), &query); }

void AdminFrontEnd::addCommand(std::string name, AdminCommand& command)
{
    m_commands.emplace(std::move(name), &command);
}

void AdminFrontEnd::addPublicText(std::string path, std::string contentType, std::function<Outcome<std::string>()> text)
{
    m_publicTexts.emplace(std::move(path), PublicText { std::move(contentType), std::move(text) });
}

bool AdminFrontEnd::isAuthorised(const HttpRequest& request) const
{
    const auto header = request.header("Authorization");
    // Digests have a fixed length, so the comparison time does not depend on the length of the header.
    return header && equalConstantTime(sha256(*header), sha256("Bearer " + m_token));
}

Task<> AdminFrontEnd::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto page = m_publicTexts.find(request.path);
    if (page != m_publicTexts.end() && request.method == "GET") {
        const auto text = page->second.text();
        if (!text) {
            co_await exchange.answer(CallerCodec::encodeError(text.error()));
        } else {
            co_await exchange.answer({ .contentType = page->second.contentType, .body = *text });
        }
        co_return;
    }
    const auto body = co_await run(request);
    if (!body) {
        co_await exchange.answer(CallerCodec::encodeError(body.error()));
        co_return;
    }
    co_await exchange.answer({ .body = *body });
}

Task<Outcome<std::string>> AdminFrontEnd::run(const HttpRequest& request)
{
    if (!isAuthorised(request)) {
        co_return fail(ErrorCode::KeyUnknown, "the administration token is missing or wrong");
    }
    const std::string_view path = request.path;
    if (path.starts_with(queryPrefix)) {
        const auto it = m_queries.find(path.substr(queryPrefix.size()));
        if (it != m_queries.end() && request.method == "GET") {
            co_return co_await it->second->run(request);
        }
    }
    if (path.starts_with(commandPrefix)) {
        const auto it = m_commands.find(path.substr(commandPrefix.size()));
        if (it != m_commands.end() && request.method == "POST") {
            co_return co_await it->second->run(request);
        }
    }
    co_return fail(ErrorCode::NoRoute, "no administration endpoint " + request.method + " " + request.path);
}

HttpAnswer AdminFrontEnd::refusal(int status, std::string_view reason) const
{
    auto answer = CallerCodec::encodeError(Error { ErrorCode::Malformed, std::string(reason) });
    answer.status = status;
    return answer;
}

} // namespace Pollenwind
