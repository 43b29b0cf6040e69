#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <cstddef>

namespace Pollenwind::detail {

/// Capacity that a buffer has after it has prepared space for a read.
inline std::size_t preparedCapacity(const boost::beast::flat_buffer& buf, std::size_t space)
{
    const auto size = buf.size();
    return size + space <= buf.capacity() ? buf.capacity() : std::min(buf.max_size(), std::max(2 * size, size + space));
}

} // namespace Pollenwind::detail
