#include "Pollenwindctl/AdminClient.h"

#include "Transport/HttpClient.h"

#include <chrono>

namespace Pollenwind::Ctl {

namespace {

    // A router makes up to five store attempts of one second each.
    constexpr std::chrono::milliseconds commandTimeout { 6000 };
    constexpr std::chrono::milliseconds queryTimeout { 2000 };

    Outcome<Json> decodeResponse(const Outcome<HttpAnswer>& response)
    {
        if (!response) {
            return std::unexpected(response.error());
        }
        if (response->status != 200) {
            return std::unexpected(decodeAdminError(response->status, response->body));
        }
        auto json = Json::parse(response->body, nullptr, false);
        if (!json.is_object()) {
            return fail(ErrorCode::ProtocolError, "the response is not a JSON object", RunState::Unknown);
        }
        return json;
    }

} // namespace

HttpAdminClient::HttpAdminClient(std::string token)
    : m_authorization("Bearer " + std::move(token))
{
}

Task<Outcome<Json>> HttpAdminClient::get(Endpoint router, std::string query)
{
    HttpRequest request { .method = "GET", .path = "/admin/queries/" + query };
    request.headers.emplace_back("Authorization", m_authorization);
    co_return decodeResponse(co_await fetch(std::move(router), std::move(request), queryTimeout));
}

Task<Outcome<Json>> HttpAdminClient::post(Endpoint router, std::string command, Json body)
{
    HttpRequest request { .method = "POST", .path = "/admin/commands/" + command, .body = body.dump() };
    request.headers.emplace_back("Authorization", m_authorization);
    request.headers.emplace_back("Content-Type", "application/json");
    co_return decodeResponse(co_await fetch(std::move(router), std::move(request), commandTimeout));
}

Error decodeAdminError(int status, std::string_view body)
{
    const auto json = Json::parse(body, nullptr, false);
    const auto error = objectField(json, "error");
    const auto code = fromName<ErrorCode>(textField(error, "code"));
    if (!code) {
        return { ErrorCode::ProtocolError, "status " + std::to_string(status), RunState::Unknown };
    }
    const auto run = fromName<RunState>(textField(error, "run"));
    return { *code, textField(error, "message"), run.value_or(RunState::Unknown) };
}

bool shouldTryAnotherRouter(const Error& error)
{
    switch (error.code) {
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectionLost:
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::ProtocolError:
    case ErrorCode::StoreUnavailable:
    case ErrorCode::ShuttingDown:
    case ErrorCode::Unavailable:
        return true;
    default:
        return false;
    }
}

std::string textField(const Json& object, const char* name)
{
    if (!object.is_object()) {
        return {};
    }
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

double numberField(const Json& object, const char* name)
{
    if (!object.is_object()) {
        return 0;
    }
    const auto it = object.find(name);
    return it != object.end() && it->is_number() ? it->get<double>() : 0;
}

Json arrayField(const Json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name) || !object[name].is_array()) {
        return Json::array();
    }
    return object[name];
}

Json objectField(const Json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name) || !object[name].is_object()) {
        return Json::object();
    }
    return object[name];
}

} // namespace Pollenwind::Ctl
