#pragma once

#include <cstdint>

namespace Pollenwind {

/// Digest by which the key tables of different routers are compared.
class KeyDigestQueries {
public:
    KeyDigestQueries() = default;
    KeyDigestQueries(const KeyDigestQueries&) = delete;
    KeyDigestQueries& operator=(const KeyDigestQueries&) = delete;
    virtual ~KeyDigestQueries() = default;

    /// @return Digest of all keys and their states; equal on two routers whose tables are equal.
    virtual std::uint64_t tableDigest() const = 0;
};

} // namespace Pollenwind
