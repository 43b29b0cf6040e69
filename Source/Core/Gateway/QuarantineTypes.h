#pragma once

#include "Common/EnumTable.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace Pollenwind {

/// Id of a part of a prompt, as callers write it; see PromptPart.
using PartId = std::uint64_t;

/// A request with the part lost its runner, which crashed, before the answer was proven.
struct CrashEvidence {
    PartId part = 0;
    /// The runner's process; see holderHash().
    std::uint64_t crash = 0;
    std::chrono::milliseconds age { 0 };

    bool operator==(const CrashEvidence&) const = default;
};

/// A runner's answer to a request with the part was whole or went on for some time, so the part does not crash runners.
struct PartAnswer {
    PartId part = 0;
    std::chrono::milliseconds age { 0 };

    bool operator==(const PartAnswer&) const = default;
};

/// A part whose requests are refused because it crashes runners.
struct QuarantinedPart {
    PartId part = 0;
    /// Distinct crashes counted so far.
    unsigned crashes = 0;
    /// Requests that were let through to see whether the part still crashes runners.
    unsigned trials = 0;
    /// Time since the part was quarantined.
    std::chrono::milliseconds age { 0 };
    /// Time since the first of the counted crashes.
    std::chrono::milliseconds evidenceAge { 0 };
    /// Time since the last request with the part.
    std::chrono::milliseconds idle { 0 };
    /// Time until the next trial; 0 if it is due.
    std::chrono::milliseconds untilTrial { 0 };

    bool operator==(const QuarantinedPart&) const = default;
};

/// What one VM tells the others about parts that crash runners.
struct QuarantineReport {
    std::vector<CrashEvidence> evidence;
    std::vector<PartAnswer> answers;
    std::vector<QuarantinedPart> parts;
    /// Whether the report has more than the regular list of quarantined parts, so that other zones need it at once.
    bool isNews = false;

    bool isEmpty() const { return evidence.empty() && answers.empty() && parts.empty(); }
};

/// State of a part in its record in the store.
enum class PartState {
    Quarantined,
    Lifted,
};

template <> struct EnumTable<PartState> {
    static constexpr std::array rows {
        EnumName { PartState::Quarantined, "quarantined" },
        EnumName { PartState::Lifted, "lifted" },
    };
};

/// Record of a part in the store, for VMs that start.
struct PartRecord {
    PartId part = 0;
    PartState state = PartState::Quarantined;
    unsigned crashes = 0;
    unsigned trials = 0;

    bool operator==(const PartRecord&) const = default;
};

} // namespace Pollenwind
