#include "Transport/RequestMessage.h"

#include <string_view>
#include <utility>

namespace Pollenwind::detail {

HttpRequest toRequest(boost::beast::http::request<ReceivedBody>&& message)
{
    HttpRequest request;
    request.method = message.method_string();
    const std::string_view target = message.target();
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string_view::npos) {
        request.query = target.substr(mark + 1);
        if (request.query.empty()) {
            // Keeps a '?' with an empty query in the path, so that a forwarded request has the same target.
            request.path += '?';
        }
    }
    for (const auto& field : message) {
        request.headers.emplace_back(field.name_string(), field.value());
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace Pollenwind::detail
