#include "Gateway/EventSplitter.h"

#include <charconv>

namespace Pollenwind {

namespace {

    std::optional<std::uint64_t> idOf(std::string_view event)
    {
        constexpr std::string_view field = "id:";
        for (std::size_t at = 0; at < event.size();) {
            const auto end = std::min(event.find('\n', at), event.size());
            auto line = event.substr(at, end - at);
            at = end + 1;
            if (!line.starts_with(field)) {
                continue;
            }
            line.remove_prefix(field.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            std::uint64_t id = 0;
            const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
            return result.ec == std::errc() ? std::optional(id) : std::nullopt;
        }
        return std::nullopt;
    }

    /// End of the first event, after its empty line; npos if it is not complete.
    std::size_t endOfEvent(std::string_view bytes)
    {
        const auto plain = bytes.find("\n\n");
        const auto carriage = bytes.find("\r\n\r\n");
        if (plain == std::string_view::npos && carriage == std::string_view::npos) {
            return std::string_view::npos;
        }
        return plain < carriage ? plain + 2 : carriage + 4;
    }

} // namespace

std::string EventSplitter::takeCompleteEvents()
{
    std::string complete;
    std::string_view rest = m_buffer;
    for (auto end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
        const auto event = rest.substr(0, end);
        rest.remove_prefix(end);
        const auto id = idOf(event);
        // A runner that resumes a stream may repeat events since its last checkpoint.
        if (id && m_lastId && *id <= *m_lastId) {
            continue;
        }
        m_lastId = id ? id : m_lastId;
        complete += event;
    }
    m_buffer.erase(0, m_buffer.size() - rest.size());
    return complete;
}

} // namespace Pollenwind
