#include "Keys/KeyTable.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    /// Contribution of one record to the table's digest. Contributions are combined by XOR, so their order does not
    /// matter.
    std::uint64_t digestPart(const KeyRecord& record)
    {
        return XXH3_64bits_withSeed(
            record.digest.data(), record.digest.size(), static_cast<std::uint64_t>(record.state));
    }

} // namespace

KeyTable::KeyTable(const Clock& clock, TimelineCommands& timeline, std::chrono::nanoseconds unconfirmedLimit)
    : m_clock(clock)
    , m_timeline(timeline)
    , m_unconfirmedLimit(unconfirmedLimit)
{
}

bool KeyTable::merge(const KeyRecord& record)
{
    const auto [it, isNew] = m_records.emplace(record.digest, record);
    const bool isWithdrawal = !isNew && it->second.state == KeyState::Valid && record.state == KeyState::Withdrawn;
    if (isWithdrawal) {
        m_tableDigest ^= digestPart(it->second);
        it->second.state = KeyState::Withdrawn;
    }
    if (isNew || isWithdrawal) {
        m_tableDigest ^= digestPart(it->second);
    }
    if (!isNew && !isWithdrawal) {
        return false;
    }
    // The first digits of the digest identify the key to operators without revealing it.
    m_timeline.record(record.state == KeyState::Withdrawn ? EventKind::KeyWithdrawn : EventKind::KeyGiven,
        { { "key", toHex(record.digest).substr(0, 12) }, { "organisation", it->second.organisation.value() } });
    return true;
}

void KeyTable::confirm(MonotonicTime at) { m_confirmedAt = std::max(m_confirmedAt, at); }

void KeyTable::recordConfirmation()
{
    const bool isConfirmed = confirmationAge() <= confirmedWindow;
    if (isConfirmed != m_wasConfirmed) {
        m_wasConfirmed = isConfirmed;
        m_timeline.record(isConfirmed ? EventKind::KeysConfirmed : EventKind::KeysUnconfirmed, {});
    }
}

Outcome<KeyIdentity> KeyTable::identify(std::string_view key) const
{
    if (confirmationAge() > confirmedWindow + m_unconfirmedLimit) {
        return fail(ErrorCode::KeyUnconfirmed, "this router cannot confirm keys at the moment");
    }
    const auto digest = sha256(key);
    const auto it = m_records.find(digest);
    if (it == m_records.end() || !equalConstantTime(it->first, digest)) {
        return fail(ErrorCode::KeyUnknown, "the key is not known");
    }
    if (it->second.state == KeyState::Withdrawn) {
        return fail(ErrorCode::KeyWithdrawn, "the key was withdrawn");
    }
    return KeyIdentity { digest, it->second.organisation };
}

bool KeyTable::isWithdrawn(const Digest& digest) const
{
    const auto it = m_records.find(digest);
    return it != m_records.end() && it->second.state == KeyState::Withdrawn;
}

std::vector<KeyRecord> KeyTable::records() const
{
    std::vector<KeyRecord> records;
    records.reserve(m_records.size());
    for (const auto& [digest, record] : m_records) {
        records.push_back(record);
    }
    return records;
}

} // namespace Pollenwind
