#pragma once

#include "Transport/HttpTypes.h"

#include <boost/beast/http.hpp>

namespace Pollenwind::detail {

/// Sets the status and the header fields of a message.
/// @param keepAlive Whether the connection stays open after it.
template <typename Message> void fillHead(Message& message, const HttpAnswer& answer, bool keepAlive)
{
    message.result(static_cast<unsigned>(answer.status));
    message.version(11);
    if (!answer.contentType.empty()) {
        message.set(boost::beast::http::field::content_type, answer.contentType);
    }
    for (const auto& [name, value] : answer.headers) {
        message.insert(name, value);
    }
    message.keep_alive(keepAlive);
}

} // namespace Pollenwind::detail
