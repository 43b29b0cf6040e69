#pragma once

#include "Load/LoadTypes.h"
#include "Transport/HttpTypes.h"

#include <memory>
#include <string>

namespace Pollenwind {

/// Builds the requests of one protocol.
class LoadTarget {
public:
    LoadTarget() = default;
    LoadTarget(const LoadTarget&) = delete;
    LoadTarget& operator=(const LoadTarget&) = delete;
    virtual ~LoadTarget() = default;

    /// @param number Sequence number of the request in the run.
    /// @param prompt Prompt of the request.
    virtual HttpRequest makeRequest(std::uint64_t number, const std::string& prompt) const = 0;
};

/// Creates the target for the protocol in the options.
std::unique_ptr<LoadTarget> makeLoadTarget(const LoadTargetOptions& options, std::uint32_t maxTokens);

} // namespace Pollenwind
