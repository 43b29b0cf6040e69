#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Splits a stream of server-sent events into complete events, so that a caller never gets a part of one.
class EventSplitter {
public:
    /// @param after Id of the last event that the caller received; events up to it are skipped.
    explicit EventSplitter(std::optional<std::uint64_t> after)
        : m_lastId(after)
    {
    }

    /// Adds received bytes.
    void append(std::string_view bytes) { m_buffer += bytes; }

    /// Returns the complete events received since the last call. Events with an id that is not greater than that of an
    /// earlier event are skipped.
    /// @return Their bytes, unchanged.
    std::string takeCompleteEvents();

    /// Id of the last event that takeCompleteEvents() returned, or the constructor's `after`.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Whether there are bytes of an incomplete event.
    bool hasPartialEvent() const { return !m_buffer.empty(); }
    std::size_t partialBytes() const { return m_buffer.size(); }
    /// Memory of the incomplete event.
    std::size_t heldBytes() const { return m_buffer.capacity(); }

private:
    std::string m_buffer;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace Pollenwind
