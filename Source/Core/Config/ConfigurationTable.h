#pragma once

#include "Config/Commands/ConfigurationCommands.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

namespace Pollenwind {

/// Owner of the configuration in force. Its revision only increases. Adoptions and rejections of invalid documents are
/// recorded in the timeline.
class ConfigurationTable final : public ConfigurationCommands, public ConfigurationQueries {
public:
    explicit ConfigurationTable(TimelineCommands& timeline);

    std::shared_ptr<const Configuration> current() const override { return m_current; }
    AdoptResult adopt(Revision revision, std::string text) override;

private:
    TimelineCommands& m_timeline;
    std::shared_ptr<const Configuration> m_current;
};

} // namespace Pollenwind
