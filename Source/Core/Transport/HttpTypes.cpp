#include "Transport/HttpTypes.h"

#include <boost/beast/core/string.hpp>

namespace Pollenwind {

std::optional<std::string_view> findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& [field, value] : headers) {
        if (boost::beast::iequals(field, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::string_view> HttpRequest::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto item = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        const auto equals = item.find('=');
        if (item.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
        }
    }
    return std::nullopt;
}

} // namespace Pollenwind
