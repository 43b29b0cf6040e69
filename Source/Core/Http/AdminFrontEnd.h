#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Handler of one administration query. Returns JSON.
class AdminQuery {
public:
    AdminQuery() = default;
    AdminQuery(const AdminQuery&) = delete;
    AdminQuery& operator=(const AdminQuery&) = delete;
    virtual ~AdminQuery() = default;

    virtual Task<Outcome<std::string>> run(const HttpRequest& request) = 0;
};

/// Handler of one administration command. Returns JSON.
class AdminCommand {
public:
    AdminCommand() = default;
    AdminCommand(const AdminCommand&) = delete;
    AdminCommand& operator=(const AdminCommand&) = delete;
    virtual ~AdminCommand() = default;

    virtual Task<Outcome<std::string>> run(const HttpRequest& request) = 0;
};

/// Administration interface: GET /admin/queries/NAME and POST /admin/commands/NAME, authorised with the administration
/// token as bearer token. /health, /ready and /metrics need no token, because load balancers and metric scrapers have
/// none; these pages contain no secrets.
class AdminFrontEnd final : public HttpHandler {
public:
    /// @param token The administration token.
    explicit AdminFrontEnd(std::string token);

    /// Registers a query. It must outlive the front end.
    void addQuery(std::string name, AdminQuery& query);
    /// Registers a command. It must outlive the front end.
    void addCommand(std::string name, AdminCommand& command);
    /// Registers a page that needs no token, e.g. "/metrics".
    void addPublicText(std::string path, std::string contentType, std::function<Outcome<std::string>()> text);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view reason) const override;

private:
    struct PublicText {
        std::string contentType;
        std::function<Outcome<std::string>()> text;
    };

    bool isAuthorised(const HttpRequest& request) const;
    Task<Outcome<std::string>> run(const HttpRequest& request);

    std::string m_token;
    std::map<std::string, AdminQuery*, std::less<>> m_queries;
    std::map<std::string, AdminCommand*, std::less<>> m_commands;
    std::map<std::string, PublicText, std::less<>> m_publicTexts;
};

} // namespace Pollenwind
