#include "Timeline/LineWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // A pipe that is writable takes at least this much without blocking.
    constexpr std::size_t longestLine = 4096;

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
    if (line.size() >= longestLine) {
        // Ends the JSON text, so that a reader can go on.
        line.resize(longestLine - sizeof "...\"}");
        line += "...\"}";
    }
    line += '\n';
    while (!m_kept.empty() && tryWrite(m_kept.front())) {
        m_kept.pop_front();
    }
    if (m_kept.empty() && m_untoldDrops > 0) {
        const auto told = "{\"event\":\"log-lines-dropped\",\"count\":\"" + std::to_string(m_untoldDrops) + "\"}\n";
        if (tryWrite(told)) {
            m_untoldDrops = 0;
        }
    }
    if (m_kept.empty() && tryWrite(line)) {
        return;
    }
    m_kept.push_back(std::move(line));
    if (m_kept.size() > m_capacity) {
        m_kept.pop_front();
        ++m_dropped;
        ++m_untoldDrops;
    }
}

} // namespace Pollenwind
