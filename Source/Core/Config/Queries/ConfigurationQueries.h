#pragma once

#include "Common/Ids.h"
#include "Config/ServiceDocument.h"

#include <memory>
#include <string>

namespace Pollenwind {

/// One accepted configuration. Immutable; readers keep it alive while they use it.
struct Configuration {
    Revision revision;
    /// Text of the service document, as accepted.
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

    /// @return The configuration in force; one with revision 0 and an empty document before the first was adopted.
    virtual std::shared_ptr<const Configuration> current() const = 0;
};

} // namespace Pollenwind
