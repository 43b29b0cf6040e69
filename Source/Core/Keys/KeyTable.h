#pragma once

#include "Common/Clock.h"
#include "Keys/Commands/KeyCommands.h"
#include "Keys/Queries/KeyDigestQueries.h"
#include "Keys/Queries/KeyQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <map>

namespace Pollenwind {

/// Holds the key digests and the time of their last confirmation.
class KeyTable final : public KeyCommands, public KeyQueries, public KeyDigestQueries {
public:
    /// @param unconfirmedLimit Time for which keys are still accepted while the table is unconfirmed.
    KeyTable(const Clock& clock, TimelineCommands& timeline, std::chrono::nanoseconds unconfirmedLimit);

    bool merge(const KeyRecord& record) override;
    void confirm(MonotonicTime at) override;
    /// Records in the timeline that the table has become confirmed or unconfirmed since the last call. Must be called
    /// regularly.
    void recordConfirmation();

    Outcome<KeyIdentity> identify(std::string_view key) const override;
    bool isWithdrawn(const Digest& digest) const override;
    std::chrono::nanoseconds confirmationAge() const override { return m_clock.now() - m_confirmedAt; }
    std::vector<KeyRecord> records() const override;
    std::uint64_t tableDigest() const override { return m_tableDigest; }

private:
    const Clock& m_clock;
    TimelineCommands& m_timeline;
    std::chrono::nanoseconds m_unconfirmedLimit;
    MonotonicTime m_confirmedAt { 0 };
    bool m_wasConfirmed = false;
    std::map<Digest, KeyRecord> m_records;
    std::uint64_t m_tableDigest = 0;
};

} // namespace Pollenwind
