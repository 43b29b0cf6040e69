#pragma once

#include "Common/Clock.h"
#include "Gateway/QuarantineTypes.h"

#include <unordered_map>
#include <vector>

namespace Pollenwind {

/// Parts of prompts that were lost in crashes of runners, with these crashes.
///
/// The parts that only one prompt has are lost once. When there is no room, parts with the fewest crashes are evicted,
/// so that the prompts of sound requests do not displace a part that is lost again and again.
class PartSuspects {
public:
    /// Parts that are kept. Two prompts of the greatest length have as many (4 bytes a part in headers of 16,384
    /// bytes).
    static constexpr std::size_t maxParts = 8192;
    static constexpr std::size_t maxCrashesPerPart = 8;

    struct Crash {
        std::uint64_t id = 0;
        MonotonicTime at { 0 };
    };
    struct Suspect {
        std::vector<Crash> crashes;
        MonotonicTime lastAt { 0 };

        /// Time from the first to the last crash.
        std::chrono::nanoseconds span() const;
    };

    /// @return Whether the crash is new and counts against the part.
    bool add(PartId part, std::uint64_t crash, MonotonicTime at);
    /// Drops the crashes of a part up to a time at which an answer on it was proven.
    void removeCrashesUntil(PartId part, MonotonicTime at);
    /// Drops a crash of all parts.
    void removeCrash(std::uint64_t crash);
    void remove(PartId part) { m_parts.erase(part); }
    /// Drops the parts without a crash since a time.
    void removeOlder(MonotonicTime time);

    bool contains(PartId part) const { return m_parts.contains(part); }
    /// @return nullptr if the part was not lost in a crash.
    const Suspect* find(PartId part) const;
    /// Number of crashes in which the part was lost.
    std::size_t crashesOf(PartId part) const;
    std::size_t size() const { return m_parts.size(); }

private:
    void evict();

    std::unordered_map<PartId, Suspect> m_parts;
};

} // namespace Pollenwind
