#pragma once

#include "Config/Queries/CheckDocument.h"
#include "Transport/Endpoint.h"

#include <expected>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind::Ctl {

/// Addresses of the routers and credentials of the operator.
struct OperatorSettings {
    std::vector<Endpoint> routers;
    /// Administration token.
    std::string token;
    /// File that contains the token when the settings do not.
    std::string tokenFile;
};

/// Parses an operator settings file: {"routers": ["ADDRESS:PORT"], "token": "..."} or "token_file" in place of "token".
/// @return The settings, or every fault found.
std::expected<OperatorSettings, std::vector<DocumentFault>> parseOperatorSettings(std::string_view text);

/// Parses a list of routers separated by commas, as in POLLENWIND_ROUTERS.
Outcome<std::vector<Endpoint>> parseRouterList(std::string_view text);

/// Reads a file.
/// @return Its bytes, or an error that names the file.
Outcome<std::string> readFile(const std::string& path);

/// Reads a token file and strips trailing white space.
/// @return The token, or an error if the file cannot be read or contains none.
Outcome<std::string> readTokenFile(const std::string& path);

} // namespace Pollenwind::Ctl
