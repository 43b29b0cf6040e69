#pragma once

#include "Load/LoadTypes.h"
#include "Transport/HttpTypes.h"

#include <memory>
#include <string>

namespace Pollenwind {

/// Makes the requests of one protocol.
class LoadTarget {
public:
    LoadTarget() = default;
    LoadTarget(const LoadTarget&) = delete;
    LoadTarget& operator=(const LoadTarget&) = delete;
    virtual ~LoadTarget() = default;

    /// @param number Number of the request in the run.
    /// @param prompt Its prompt.
    virtual HttpRequest makeRequest(std::uint64_t number, const std::string& prompt) const = 0;
};

/// Makes the target of a protocol.
std::unique_ptr<LoadTarget> makeLoadTarget(const LoadTargetOptions& options, std::uint32_t maxTokens);

} // namespace Pollenwind
