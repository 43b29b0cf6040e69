#pragma once

#include "Transport/HttpTypes.h"
#include "Transport/ReceivedBody.h"

#include <boost/beast/http.hpp>

namespace Pollenwind::detail {

/// Converts a received message, whose body may be incomplete.
HttpRequest toRequest(boost::beast::http::request<ReceivedBody>&& message);

} // namespace Pollenwind::detail
