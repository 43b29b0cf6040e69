#pragma once

#include <chrono>

namespace Pollenwind {

/// Reports how old the local copy of the platform's store may be.
class FreshnessQueries {
public:
    FreshnessQueries() = default;
    FreshnessQueries(const FreshnessQueries&) = delete;
    FreshnessQueries& operator=(const FreshnessQueries&) = delete;
    virtual ~FreshnessQueries() = default;

    /// Time since the last moment up to which every change in the store has been received.
    virtual std::chrono::nanoseconds age() const = 0;

    /// Whether the local copy is recent enough to accept API keys.
    virtual bool mayAcceptKeys() const = 0;
};

} // namespace Pollenwind
