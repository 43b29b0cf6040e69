#include "Transport/ConnectionEnd.h"

#include <boost/asio/error.hpp>

namespace Pollenwind {

void RequestTrace::begin(std::size_t bytes)
{
    m_bytes = bytes;
    m_firstByteAt = std::chrono::steady_clock::now();
}

void RequestTrace::add(std::size_t bytes)
{
    if (m_bytes == 0) {
        m_firstByteAt = std::chrono::steady_clock::now();
    }
    m_bytes += bytes;
}

std::chrono::milliseconds RequestTrace::sinceFirstByte() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_firstByteAt);
}

bool isCloseByClient(const boost::system::error_code& ec)
{
    namespace error = boost::asio::error;
    return ec == error::eof || ec == error::connection_reset || ec == error::broken_pipe;
}

} // namespace Pollenwind
