#pragma once

#include "Gateway/QuarantineTypes.h"

#include <span>
#include <string>

namespace Pollenwind {

/// Updates which parts of prompts crash runners.
class QuarantineCommands {
public:
    QuarantineCommands() = default;
    QuarantineCommands(const QuarantineCommands&) = delete;
    QuarantineCommands& operator=(const QuarantineCommands&) = delete;
    virtual ~QuarantineCommands() = default;

    /// Records that a runner crashed while requests of this VM had no proven answer there.
    /// @param runner Name of the runner for the log.
    /// @param crash The runner's process; see holderHash().
    /// @param parts Parts of the prompts of these requests.
    virtual void recordCrash(const std::string& runner, std::uint64_t crash, std::span<const PartId> parts) = 0;
    /// Records an answer to a request with these parts that is whole or has gone on for some time.
    virtual void recordAnswer(std::span<const PartId> parts) = 0;
    /// Records that a request was refused because of a quarantined part.
    virtual void recordRefusal(PartId part) = 0;
    /// Lets one request with a quarantined part through if a trial is due and this VM is to make it.
    /// @return Whether the request may be sent once.
    virtual bool startTrial(std::span<const PartId> parts) = 0;

    /// Puts the list of quarantined parts into the next report, for a VM that has just come into contact.
    virtual void repeatParts() = 0;
    /// Returns what the other VMs should know, and counts it as sent once more.
    virtual QuarantineReport takeReport() = 0;
    /// Returns the answers that VMs of this zone reported since the last call, to be forwarded to the other zones.
    virtual std::vector<PartAnswer> takeZoneAnswers() = 0;
    /// Takes over what another VM reported.
    virtual void mergeReport(const QuarantineReport& report, bool isOfOwnZone) = 0;
    /// Takes over a part's record in the store.
    virtual void adoptRecord(const PartRecord& record) = 0;
};

} // namespace Pollenwind
