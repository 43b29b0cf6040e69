#include "Upstream/HttpCacheEventStream.h"

#include "Upstream/UpstreamCodec.h"

namespace Pollenwind {

namespace {

    constexpr std::size_t maxBufferedBytes = 1 << 20;

} // namespace

Task<Outcome<std::vector<CacheEvent>>> HttpCacheEventStream::next(std::chrono::nanoseconds timeout)
{
    const auto part = co_await m_connection->readSome(timeout);
    if (!part) {
        co_return std::unexpected(part.error());
    }
    if (part->empty()) {
        co_return fail(ErrorCode::ConnectionLost, "the engine closed its cache event stream");
    }
    m_buffer += *part;
    std::vector<CacheEvent> events;
    std::size_t start = 0;
    for (auto end = m_buffer.find("\n\n"); end != std::string::npos; end = m_buffer.find("\n\n", start)) {
        const auto block = std::string_view(m_buffer).substr(start, end - start);
        start = end + 2;
        if (!block.starts_with("data: ")) {
            continue;
        }
        auto event = UpstreamCodec::decodeCacheEvent(block.substr(6));
        if (!event) {
            co_return std::unexpected(event.error());
        }
        events.push_back(*event);
    }
    m_buffer.erase(0, start);
    if (m_buffer.size() > maxBufferedBytes) {
        co_return fail(ErrorCode::ProtocolError, "the engine sent a cache event over the size limit");
    }
    co_return events;
}

} // namespace Pollenwind
