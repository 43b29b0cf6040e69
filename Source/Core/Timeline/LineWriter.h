#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace Pollenwind {

/// Writes lines to a file descriptor without blocking when its reader is slow or stopped. Lines that cannot be written
/// are queued up to a limit; beyond it the oldest are dropped and counted, and the count is written as a line of its
/// own (event "log-lines-dropped") once the reader has caught up.
class LineWriter {
public:
    /// @param descriptor File descriptor to write to, e.g. standard output.
    /// @param capacity Largest number of queued lines.
    explicit LineWriter(int descriptor, std::size_t capacity = 512)
        : m_descriptor(descriptor)
        , m_capacity(capacity)
    {
    }

    /// Writes or queues a line, after the lines that are queued already. Text beyond 4,096 bytes is cut.
    void write(std::string line);

    /// Lines dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    bool tryWrite(const std::string& line) const;

    int m_descriptor;
    std::size_t m_capacity;
    std::deque<std::string> m_pending;
    std::uint64_t m_dropped = 0;
    /// Dropped lines that have not been reported in the output yet.
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace Pollenwind
