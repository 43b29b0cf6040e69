#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace Pollenwind {

/// Writes lines to a file descriptor without ever waiting for its reader. Lines that the reader does not take are kept
/// up to a limit; beyond it the oldest are dropped and counted.
class LineWriter {
public:
    /// @param descriptor Where the lines go, e.g. standard output.
    /// @param capacity Lines kept while the reader does not take them.
    explicit LineWriter(int descriptor, std::size_t capacity = 512)
        : m_descriptor(descriptor)
        , m_capacity(capacity)
    {
    }

    /// Writes a line, or keeps it. Text beyond the longest line is cut.
    void write(std::string line);

    std::uint64_t dropped() const { return m_dropped; }

private:
    bool tryWrite(const std::string& line) const;

    int m_descriptor;
    std::size_t m_capacity;
    std::deque<std::string> m_pending;
    std::uint64_t m_dropped = 0;
    /// Dropped lines that no line has told of yet.
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace Pollenwind
