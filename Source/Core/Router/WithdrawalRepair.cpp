#include "Router/WithdrawalRepair.h"

#include "Common/Sleep.h"
#include "Router/StoreKeys.h"
#include "Router/StoreRecords.h"

namespace Pollenwind {

namespace {

    // Long enough for the first router's write to reach the others over their watches.
    constexpr std::uint64_t longestDelayMs = 4000;

} // namespace

WithdrawalRepair::WithdrawalRepair(StoreCommands& storeCommands, StoreQueries& storeQueries, const KeyQueries& keys)
    : m_storeCommands(storeCommands)
    , m_storeQueries(storeQueries)
    , m_keys(keys)
{
}

void WithdrawalRepair::onStoreRecord(const KeyRecord& record)
{
    if (record.state == KeyState::Withdrawn) {
        m_unstored.erase(record.digest);
    } else if (m_keys.isWithdrawn(record.digest)) {
        m_unstored.insert(record.digest);
    }
}

Task<> WithdrawalRepair::run()
{
    for (;;) {
        co_await sleepFor(std::chrono::milliseconds(longestDelayMs / 4 + randomBits() % longestDelayMs));
        const auto unstored = m_unstored;
        for (const auto& digest : unstored) {
            // Another router's write may have arrived in the meantime.
            if (!m_unstored.contains(digest)) {
                continue;
            }
            const auto repaired = co_await repair(digest);
            if (!repaired) {
                break;
            }
        }
    }
}

Task<Outcome<void>> WithdrawalRepair::repair(Digest digest)
{
    const auto key = StoreKeys::keyRecord(digest);
    const auto range = co_await m_storeQueries.read(key);
    if (!range) {
        co_return std::unexpected(range.error());
    }
    const auto stored = range->entries.empty() ? Outcome<KeyRecord>(fail(ErrorCode::NotFound, "the key does not exist"))
                                               : decodeKeyRecord(toHex(digest), range->entries.front().value);
    if (!stored) {
        // A stale read may lack the record; the next round reads it again.
        co_return Outcome<void> {};
    }
    if (stored->state == KeyState::Withdrawn || !m_keys.isWithdrawn(digest)) {
        m_unstored.erase(digest);
        co_return Outcome<void> {};
    }
    auto next = *stored;
    next.state = KeyState::Withdrawn;
    const auto swapped
        = co_await m_storeCommands.compareAndSwap(key, range->entries.front().modRevision, encodeKeyRecord(next), {});
    if (!swapped) {
        co_return std::unexpected(swapped.error());
    }
    // After a conflicting write the next round reads the record again.
    if (swapped->isSwapped) {
        m_unstored.erase(digest);
    }
    co_return Outcome<void> {};
}

} // namespace Pollenwind
