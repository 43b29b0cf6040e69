#pragma once

#include "Common/Ids.h"
#include "Config/ServiceDocument.h"

#include <memory>
#include <string>

namespace Pollenwind {

/// One accepted configuration. Immutable; readers share ownership while they use it.
struct Configuration {
    Revision revision;
    /// Source text of the service document.
    std::string text;
    ServiceDocument document;
};

/// Reads the configuration in force.
class ConfigurationQueries {
public:
    ConfigurationQueries() = default;
    ConfigurationQueries(const ConfigurationQueries&) = delete;
    ConfigurationQueries& operator=(const ConfigurationQueries&) = delete;
    virtual ~ConfigurationQueries() = default;

    /// @return The configuration in force; before the first adoption, one with revision 0 and an empty document.
    virtual std::shared_ptr<const Configuration> current() const = 0;
};

} // namespace Pollenwind
