#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

using Json = nlohmann::json;

/// Client of the administration API of the routers. Abstract so that tests can simulate lost responses.
class AdminClient {
public:
    AdminClient() = default;
    AdminClient(const AdminClient&) = delete;
    AdminClient& operator=(const AdminClient&) = delete;
    virtual ~AdminClient() = default;

    /// Runs a query of one router.
    /// @return The response, the error reported by the router, or a connection error.
    virtual Task<Outcome<Json>> get(Endpoint router, std::string query) = 0;

    /// Runs a command.
    /// @return As for get(). After a connection error the command may have taken effect; see Error::runState.
    virtual Task<Outcome<Json>> post(Endpoint router, std::string command, Json body) = 0;
};

/// Sends HTTP requests with the administration token as bearer token.
class HttpAdminClient final : public AdminClient {
public:
    explicit HttpAdminClient(std::string token);

    Task<Outcome<Json>> get(Endpoint router, std::string query) override;
    Task<Outcome<Json>> post(Endpoint router, std::string command, Json body) override;

private:
    std::string m_authorization;
};

/// Decodes an error response of a router.
/// @param status HTTP status, used in the message when the body cannot be decoded.
Error decodeAdminError(int status, std::string_view body);

/// Returns whether a call that failed should be sent to another router: this router could not be reached, its response
/// was lost or malformed, or it is unavailable, shutting down or without a connection to the store.
bool shouldTryAnotherRouter(const Error& error);

/// Returns a string member of an object, or an empty string.
std::string textField(const Json& object, const char* name);

/// Returns a number member of an object, or 0.
double numberField(const Json& object, const char* name);

/// Returns an array member of an object, or an empty array.
Json arrayField(const Json& object, const char* name);

/// Returns an object member of an object, or an empty object.
Json objectField(const Json& object, const char* name);

} // namespace Pollenwind::Ctl
