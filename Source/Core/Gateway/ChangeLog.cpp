#include "Gateway/ChangeLog.h"

#include <algorithm>

namespace Pollenwind {

void ChangeLog::replace(const StoreRange& range)
{
    m_entries.clear();
    for (const auto& entry : range.entries) {
        m_entries.emplace(entry.key, entry);
    }
    m_changes.clear();
    m_oldestRevision = range.revision;
    m_revision = range.revision;
    if (m_onChanged) {
        m_onChanged();
    }
}

void ChangeLog::append(const StoreEvents& changes)
{
    m_revision = std::max(m_revision, changes.revision);
    if (changes.events.empty()) {
        return;
    }
    for (const auto& event : changes.events) {
        if (event.isErased) {
            m_entries.erase(event.entry.key);
        } else {
            m_entries[event.entry.key] = event.entry;
        }
        m_changes.push_back(event);
    }
    while (m_changes.size() > m_maxChanges) {
        m_oldestRevision = std::max(m_oldestRevision, m_changes.front().entry.modRevision);
        m_changes.pop_front();
    }
    if (m_onChanged) {
        m_onChanged();
    }
}

StoreRange ChangeLog::records() const
{
    StoreRange range;
    range.revision = m_revision;
    for (const auto& [key, entry] : m_entries) {
        range.entries.push_back(entry);
    }
    return range;
}

std::optional<StoreEvents> ChangeLog::changesAfter(std::int64_t revision) const
{
    if (m_revision == 0 || revision < m_oldestRevision) {
        return std::nullopt;
    }
    StoreEvents changes;
    changes.revision = std::max(m_revision, revision);
    for (const auto& event : m_changes) {
        if (event.entry.modRevision > revision) {
            changes.events.push_back(event);
        }
    }
    return changes;
}

} // namespace Pollenwind
