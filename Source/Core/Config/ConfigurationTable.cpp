#include "Config/ConfigurationTable.h"

#include "Common/Invariant.h"
#include "Config/Queries/CheckDocument.h"

namespace Pollenwind {

ConfigurationTable::ConfigurationTable(TimelineCommands& timeline)
    : m_timeline(timeline)
    , m_current(std::make_shared<Configuration>())
{
}

AdoptResult ConfigurationTable::adopt(Revision revision, std::string text)
{
    if (revision <= m_current->revision) {
        return AdoptResult::Stale;
    }
    auto document = checkDocument(text);
    if (!document) {
        m_timeline.record(EventKind::ConfigurationRejected,
            { { "revision", std::to_string(revision.value()) },
                { "reason", formatFault("config", document.error().front()) } });
        return AdoptResult::Invalid;
    }
    auto next = std::make_shared<Configuration>();
    next->revision = revision;
    next->text = std::move(text);
    next->document = std::move(*document);
    checkInvariant(next->revision > m_current->revision, "configuration revisions only go up");
    m_current = std::move(next);
    m_timeline.record(EventKind::ConfigurationAdopted, { { "revision", std::to_string(revision.value()) } });
    return AdoptResult::Adopted;
}

} // namespace Pollenwind
