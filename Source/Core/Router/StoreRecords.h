#pragma once

#include "Common/Error.h"
#include "Keys/KeyTypes.h"
#include "Limits/ShareTypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// Value of the configuration record.
struct ConfigurationRecord {
    /// Chosen by the operator's tool; shows whether a write whose response was lost took effect.
    std::string change;
    std::string operatorName;
    /// Latest change ids, newest first, this one included.
    std::vector<std::string> recentChanges;
    std::string document;
};

/// Number of change ids kept in a configuration record. An operator's tool that lost a response finds its change among
/// them unless at least this many others followed.
inline constexpr std::size_t keptChangeIds = 32;

std::string encodeConfigurationRecord(const ConfigurationRecord& record);
Outcome<ConfigurationRecord> decodeConfigurationRecord(std::string_view text);

std::string encodeKeyRecord(const KeyRecord& record);
/// @param digestHex Last part of the record's store key.
Outcome<KeyRecord> decodeKeyRecord(std::string_view digestHex, std::string_view text);

std::string encodeShareRecord(const ShareRecord& record);
Outcome<ShareRecord> decodeShareRecord(std::string_view text);

} // namespace Pollenwind
