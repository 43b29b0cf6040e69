#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Keys/KeyTypes.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// Reads the key table.
class KeyQueries {
public:
    KeyQueries() = default;
    KeyQueries(const KeyQueries&) = delete;
    KeyQueries& operator=(const KeyQueries&) = delete;
    virtual ~KeyQueries() = default;

    /// Finds the organisation of a caller's key.
    /// @return The identity, or an error with code KeyUnknown, KeyWithdrawn or KeyUnconfirmed.
    virtual Outcome<KeyIdentity> identify(std::string_view key) const = 0;

    /// @return Whether a key was withdrawn. Used for responses that are already being sent.
    virtual bool isWithdrawn(const Digest& digest) const = 0;

    /// @return Time since the table was last confirmed.
    virtual std::chrono::nanoseconds confirmationAge() const = 0;

    /// @return All records, in order of digest.
    virtual std::vector<KeyRecord> records() const = 0;
};

} // namespace Pollenwind
