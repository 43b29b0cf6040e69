#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Pollenwind {

/// Header fields in order of appearance.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Finds a header field by name, ignoring case.
std::optional<std::string_view> findHeader(const HttpHeaders& headers, std::string_view name);

/// A complete HTTP request, independent of the library that reads or writes it.
struct HttpRequest {
    std::string method;
    /// Path without the query.
    std::string path;
    /// Text after '?', or empty.
    std::string query;
    HttpHeaders headers;
    std::string body;

    std::optional<std::string_view> header(std::string_view name) const { return findHeader(headers, name); }
    /// Value of a query parameter. Percent encoding is not decoded.
    std::optional<std::string_view> parameter(std::string_view name) const;
    std::string target() const { return query.empty() ? path : path + "?" + query; }
};

/// A complete HTTP response.
struct HttpAnswer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    HttpHeaders headers = {};
};

} // namespace Pollenwind
