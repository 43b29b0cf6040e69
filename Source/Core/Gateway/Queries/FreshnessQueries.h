#pragma once

#include <chrono>

namespace Pollenwind {

/// Reads how old the knowledge from the platform's store is.
class FreshnessQueries {
public:
    FreshnessQueries() = default;
    FreshnessQueries(const FreshnessQueries&) = delete;
    FreshnessQueries& operator=(const FreshnessQueries&) = delete;
    virtual ~FreshnessQueries() = default;

    /// Time since the last moment up to which every change in the store is known here.
    virtual std::chrono::nanoseconds age() const = 0;

    /// Tells whether API keys may still be accepted.
    virtual bool mayAcceptKeys() const = 0;
};

} // namespace Pollenwind
