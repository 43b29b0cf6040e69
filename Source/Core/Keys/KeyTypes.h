#pragma once

#include "Common/Digest.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"

#include <array>
#include <chrono>

namespace Pollenwind {

/// Age of the last confirmation up to which the key table counts as confirmed. Heartbeats and store probes renew it at
/// least each second.
inline constexpr std::chrono::seconds confirmedWindow { 2 };

/// State of an API key. A withdrawn key never becomes valid again, so records can be merged in any order.
enum class KeyState {
    Valid,
    Withdrawn,
};

template <> struct EnumTable<KeyState> {
    static constexpr std::array rows {
        EnumName { KeyState::Valid, "valid" },
        EnumName { KeyState::Withdrawn, "withdrawn" },
    };
};

/// One key as stored: only its digest is known.
struct KeyRecord {
    Digest digest {};
    OrganisationId organisation;
    KeyState state = KeyState::Valid;
};

/// A key and the organisation that it belongs to.
struct KeyIdentity {
    Digest digest {};
    OrganisationId organisation;
};

} // namespace Pollenwind
