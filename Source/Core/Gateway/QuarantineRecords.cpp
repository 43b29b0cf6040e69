#include "Gateway/QuarantineRecords.h"

#include "Common/Sleep.h"
#include "Gateway/ForwardTypes.h"
#include "Gateway/GatewayKeys.h"
#include "Timeline/Log.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds writeInterval { 500 };

    // Another VM gets the turn to write after this time, in case the first one has just stopped.
    constexpr std::chrono::seconds turnLength { 3 };

    /// Part of a key behind the prefix; empty for a key without it.
    std::string_view nameOfKey(std::string_view key)
    {
        return key.starts_with(quarantineRecordPrefix) ? key.substr(quarantineRecordPrefix.size()) : std::string_view();
    }

    template <typename T> std::optional<T> takeNumber(std::string_view& text, int base = 10)
    {
        T value = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
        if (result.ec != std::errc()) {
            return std::nullopt;
        }
        text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
        text.remove_prefix(text.starts_with(' ') ? 1 : 0);
        return value;
    }

} // namespace

QuarantineRecords::QuarantineRecords(const Clock& clock, StoreCommands& store, QuarantineCommands& commands,
    const QuarantineQueries& quarantine, const TurnQueries& turns)
    : m_clock(clock)
    , m_store(store)
    , m_commands(commands)
    , m_quarantine(quarantine)
    , m_turns(turns)
{
}

std::string QuarantineRecords::keyOf(PartId part) { return std::string(quarantineRecordPrefix) + partName(part); }

std::string QuarantineRecords::encode(const PartRecord& record)
{
    return std::to_string(record.crashes) + " " + std::to_string(record.trials) + " "
        + std::string(nameOf(record.state));
}

std::optional<PartRecord> QuarantineRecords::decode(const std::string& key, const std::string& value)
{
    auto name = nameOfKey(key);
    std::string_view text = value;
    const auto part = takeNumber<PartId>(name, 16);
    const auto crashes = takeNumber<unsigned>(text);
    const auto trials = takeNumber<unsigned>(text);
    const auto state = fromName<PartState>(text);
    if (!part || !name.empty() || !crashes || !trials || !state) {
        return std::nullopt;
    }
    return PartRecord { *part, *state, *crashes, *trials };
}

void QuarantineRecords::updateEra(std::int64_t position)
{
    if (m_era.update(position) && m_era.hasCrossed()) {
        m_isCopyUnread = true;
    }
}

void QuarantineRecords::endRead(std::int64_t position)
{
    updateEra(position);
    m_isCopyUnread = false;
    std::erase_if(m_stored, [this](const auto& it) { return m_era.isEarlier(it.second.revision); });
}

bool QuarantineRecords::isOutdated(const PartRecord& record) const
{
    if (!m_isCopyUnread) {
        return false;
    }
    const bool isQuarantined = std::ranges::any_of(
        m_quarantine.quarantinedParts(), [&record](const auto& it) { return it.part == record.part; });
    return record.state == PartState::Lifted ? isQuarantined : !isQuarantined && m_stored.contains(record.part);
}

void QuarantineRecords::updateRecord(const std::string& key, const std::string& value, std::int64_t revision)
{
    const auto record = decode(key, value);
    if (!record) {
        logStateChange("record-unreadable", { { "key", key } });
        return;
    }
    updateEra(revision);
    const auto known = m_stored.find(record->part);
    if (known != m_stored.end() && revision <= known->second.revision) {
        return;
    }
    if (!isOutdated(*record)) {
        m_commands.adoptRecord(*record);
    }
    m_stored[record->part] = { *record, revision, m_clock.now() };
}

void QuarantineRecords::markRecordErased(const std::string& key)
{
    auto name = nameOfKey(key);
    if (const auto part = takeNumber<PartId>(name, 16)) {
        m_stored.erase(*part);
    }
}

std::vector<PartRecord> QuarantineRecords::dueRecords() const
{
    const auto now = m_clock.now();
    const auto parts = m_quarantine.quarantinedParts();
    std::vector<PartRecord> due;
    for (const auto& it : parts) {
        const auto stored = m_stored.find(it.part);
        const bool isOld = stored != m_stored.end() && now - stored->second.writtenAt > recordTimeToLive / 2
            && it.idle < recordTimeToLive / 2;
        if (stored == m_stored.end() || stored->second.record.state != PartState::Quarantined
            || stored->second.record.trials < it.trials || isOld) {
            due.push_back({ it.part, PartState::Quarantined, it.crashes, it.trials });
        }
    }
    for (const auto& [part, stored] : m_stored) {
        const bool isLifted = std::ranges::none_of(parts, [id = part](const auto& it) { return it.part == id; });
        if (isLifted && stored.record.state == PartState::Quarantined) {
            due.push_back({ part, PartState::Lifted, stored.record.crashes, stored.record.trials });
        }
    }
    return due;
}

Task<bool> QuarantineRecords::write(PartRecord record)
{
    const auto lease = co_await m_store.grantLease(recordTimeToLive);
    if (!lease) {
        co_return false;
    }
    const auto known = m_stored.find(record.part);
    const auto revision = known == m_stored.end() ? 0 : known->second.revision;
    const auto swapped = co_await m_store.compareAndSwap(keyOf(record.part), revision, encode(record), *lease);
    if (!swapped) {
        // If it has taken effect, the watch shows the record.
        co_return false;
    }
    if (swapped->isSwapped) {
        updateEra(swapped->revision);
        m_stored[record.part] = { record, swapped->revision, m_clock.now() };
    } else if (swapped->found) {
        updateRecord(swapped->found->key, swapped->found->value, swapped->found->modRevision);
    } else {
        m_stored.erase(record.part);
    }
    co_return swapped->isSwapped;
}

Task<> QuarantineRecords::writeDue()
{
    std::size_t writes = 0;
    for (const auto& record : dueRecords()) {
        const auto turn = static_cast<std::uint64_t>(m_clock.wallNow() / turnLength);
        if (!m_turns.isOwnTurn(record.part + turn)) {
            continue;
        }
        if (++writes > maxWrites || !co_await write(record)) {
            co_return;
        }
    }
}

Task<> QuarantineRecords::run()
{
    for (;;) {
        co_await sleepFor(writeInterval);
        co_await writeDue();
    }
}

} // namespace Pollenwind
