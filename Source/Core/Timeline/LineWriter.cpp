#include "Timeline/LineWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // PIPE_BUF on Linux: a pipe that poll() reports as writable accepts this many bytes without blocking.
    constexpr std::size_t maxLineBytes = 4096;

} // namespace

bool LineWriter::tryWrite(const std::string& line) const
{
    pollfd request { m_descriptor, POLLOUT, 0 };
    if (poll(&request, 1, 0) != 1 || (request.revents & POLLOUT) == 0) {
        return false;
    }
    // A line that was written in part, or whose write failed, is not retried: the output would repeat its start.
    return ::write(m_descriptor, line.data(), line.size()) >= 0;
}

void LineWriter::write(std::string line)
{
    if (line.size() >= maxLineBytes) {
        // Closes the JSON string and object, so that the shortened line can still be parsed.
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
