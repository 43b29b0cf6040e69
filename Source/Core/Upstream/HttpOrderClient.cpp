#include "Upstream/HttpOrderClient.h"

#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace Pollenwind {

Task<Outcome<void>> HttpOrderClient::load(
    Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
{
    co_return co_await send(endpoint, "/admin/load", version, fencing, timeout);
}

Task<Outcome<void>> HttpOrderClient::unload(
    Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
{
    co_return co_await send(endpoint, "/admin/unload", version, fencing, timeout);
}

Task<Outcome<void>> HttpOrderClient::send(
    Endpoint endpoint, std::string path, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
{
    const nlohmann::json body = { { "version", version.value() }, { "fencing", fencing } };
    HttpRequest request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = body.dump();
    const auto answer = co_await fetch(endpoint, std::move(request), timeout);
    if (!answer) {
        co_return std::unexpected(answer.error());
    }
    if (answer->status == 409) {
        co_return fail(ErrorCode::Conflict, "the upstream has seen a newer fencing token");
    }
    if (answer->status != 200) {
        co_return fail(
            ErrorCode::ProtocolError, "the upstream responded with status " + std::to_string(answer->status));
    }
    co_return Outcome<void> {};
}

} // namespace Pollenwind
