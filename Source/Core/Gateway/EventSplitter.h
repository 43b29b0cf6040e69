#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Cuts a stream of server-sent events into whole events, so that a caller never gets a part of one.
class EventSplitter {
public:
    /// @param after Id of the last event that the caller has; events up to it are left out.
    explicit EventSplitter(std::optional<std::uint64_t> after)
        : m_lastId(after)
    {
    }

    /// Adds received bytes.
    void append(std::string_view bytes) { m_rest += bytes; }

    /// Takes the whole events received so far.
    /// @return Their bytes, unchanged.
    std::string takeCompleteEvents();

    /// Id of the last event taken.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Tells whether bytes of an unfinished event are left.
    bool hasPartialEvent() const { return !m_rest.empty(); }

private:
    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace Pollenwind
