#pragma once

#include "Gateway/Queries/ChangeFeed.h"

#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Encoding of the records and changes that VMs pass on to each other.
namespace FeedCodec {

    std::string encode(const FeedChanges& changes);
    std::string encode(const FeedRecords& records);

    /// Decodes changes.
    /// @return The changes, or nothing for invalid bytes.
    std::optional<FeedChanges> decode(std::string_view bytes);

    /// Converts a response that contains all records.
    FeedRecords toRecords(FeedChanges changes);

} // namespace FeedCodec

} // namespace Pollenwind
