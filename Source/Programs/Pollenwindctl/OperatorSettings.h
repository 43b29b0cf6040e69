#pragma once

#include "Config/Queries/CheckDocument.h"
#include "Transport/Endpoint.h"

#include <expected>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind::Ctl {

/// Where the routers are and how to authenticate.
struct OperatorSettings {
    std::vector<Endpoint> routers;
    /// Administration token.
    std::string token;
    /// File that holds the token, when it is not in the settings.
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

/// Reads a token file; white space at the end is dropped.
Outcome<std::string> readTokenFile(const std::string& path);

} // namespace Pollenwind::Ctl
