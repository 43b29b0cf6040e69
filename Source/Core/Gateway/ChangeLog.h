#pragma once

#include "Store/StoreTypes.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Pollenwind {

/// Record of the configuration in force. After a restore of the store it may be newer than the store's.
struct ConfigurationRecord {
    std::int64_t version = 0;
    StoreEntry entry;
};

/// The store's records as this VM knows them and their last changes, from which other VMs of the zone follow the store.
class ChangeLog {
public:
    /// @param maxChanges Changes to keep. A follower that is further behind reads all records.
    explicit ChangeLog(std::size_t maxChanges = 4096)
        : m_maxChanges(maxChanges)
    {
    }

    /// Replaces all records. Followers at earlier revisions have to read all records as well.
    void replace(const StoreRange& range);
    void append(const StoreEvents& changes);

    void setConfiguration(ConfigurationRecord configuration) { m_configuration = std::move(configuration); }
    /// Record of the configuration in force; version 0 before the first one.
    const ConfigurationRecord& configuration() const { return m_configuration; }

    /// Sets a handler that is called after each change.
    void onChanged(std::function<void()> handler) { m_onChanged = std::move(handler); }

    /// Revision up to which the changes are complete; 0 before the first read.
    std::int64_t revision() const { return m_revision; }
    /// All records.
    StoreRange records() const;
    /// @return The changes after a revision, or nothing if they are no longer all known.
    std::optional<StoreEvents> changesAfter(std::int64_t revision) const;

private:
    std::size_t m_maxChanges;
    std::map<std::string, StoreEntry> m_entries;
    ConfigurationRecord m_configuration;
    std::deque<StoreEvent> m_changes;
    /// Revision after which all changes are known.
    std::int64_t m_oldestRevision = 0;
    std::int64_t m_revision = 0;
    std::function<void()> m_onChanged;
};

} // namespace Pollenwind
