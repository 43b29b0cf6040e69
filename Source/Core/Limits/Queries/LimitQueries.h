#pragma once

#include "Common/Ids.h"

#include <vector>

namespace Pollenwind {

/// State of one organisation's tokens on this VM.
struct LimitStatus {
    OrganisationId organisation;
    /// Tokens that may be spent or lent now.
    double level = 0;
    /// Tokens lent to other VMs and not yet settled.
    double outstanding = 0;
    /// Tokens borrowed from other VMs and still valid.
    double borrowed = 0;
};

/// Reads the token state.
class LimitQueries {
public:
    LimitQueries() = default;
    LimitQueries(const LimitQueries&) = delete;
    LimitQueries& operator=(const LimitQueries&) = delete;
    virtual ~LimitQueries() = default;

    /// @return Every organisation with state on this VM.
    virtual std::vector<LimitStatus> status() const = 0;
};

} // namespace Pollenwind
