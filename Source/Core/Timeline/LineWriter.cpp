#include "Timeline/LineWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // A pipe that is writable takes at least this much without blocking.
    constexpr std::size_t maxLineBytes = 4096;

} // namespace

bool LineWriter::tryWrite(const std::string& line) const
{
    pollfd request { m_descriptor, POLLOUT, 0 };
    if (poll(&request, 1, 0) != 1 || (request.revents & POLLOUT) == 0) {
        return false;
    }
    // A line that is cut short or fails now would be torn if it was tried again.
    return ::write(m_descriptor, line.data(), line.size()) >= 0;
}

void LineWriter::write(std::string line)
{
    if (line.size() >= maxLineBytes) {
        // Ends the JSON text, so that a reader can go on.
        line.resize(maxLineBytes - sizeof "...\"}");
        line += "...\"}";
    }
    line += '\n';
    while (!m_pending.empty() && tryWrite(m_pending.front())) {
        m_pending.pop_front();
    }
    if (m_pending.empty() && m_unreportedDrops > 0) {
        const auto report
            = "{\"event\":\"log-lines-dropped\",\"count\":\"" + std::to_string(m_unreportedDrops) + "\"}\n";
        if (tryWrite(report)) {
            m_unreportedDrops = 0;
        }
    }
    if (m_pending.empty() && tryWrite(line)) {
        return;
    }
    m_pending.push_back(std::move(line));
    if (m_pending.size() > m_capacity) {
        m_pending.pop_front();
        ++m_dropped;
        ++m_unreportedDrops;
    }
}

} // namespace Pollenwind
