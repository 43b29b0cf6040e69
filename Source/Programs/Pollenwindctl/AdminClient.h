#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

using Json = nlohmann::json;

/// Calls the administration API of one router at a time. Abstract so that tests can lose answers.
class AdminClient {
public:
    AdminClient() = default;
    AdminClient(const AdminClient&) = delete;
    AdminClient& operator=(const AdminClient&) = delete;
    virtual ~AdminClient() = default;

    /// Runs a query.
    /// @return The answer, or the router's own error, or a connection error.
    virtual Task<Outcome<Json>> get(Endpoint router, std::string query) = 0;

    /// Runs a command.
    virtual Task<Outcome<Json>> post(Endpoint router, std::string command, Json body) = 0;
};

/// Speaks HTTP with the administration token as bearer.
class HttpAdminClient final : public AdminClient {
public:
    explicit HttpAdminClient(std::string token);

    Task<Outcome<Json>> get(Endpoint router, std::string query) override;
    Task<Outcome<Json>> post(Endpoint router, std::string command, Json body) override;

private:
    std::string m_authorization;
};

/// Reads an error as the routers encode it.
/// @param status HTTP status, named when the body is no such error.
Error decodeAdminError(int status, std::string_view body);

/// Tells whether another router may carry out a call that failed here: the answer was lost, or this router cannot reach
/// the store.
bool shouldTryAnotherRouter(const Error& error);

/// A string member of an object, or an empty string.
std::string textField(const Json& object, const char* name);

/// A number member of an object, or 0.
double numberField(const Json& object, const char* name);

/// An array member of an object, or an empty array.
Json arrayField(const Json& object, const char* name);

/// A member of an object, or an empty object.
Json objectField(const Json& object, const char* name);

} // namespace Pollenwind::Ctl
