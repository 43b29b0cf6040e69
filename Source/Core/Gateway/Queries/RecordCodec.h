#pragma once

#include "Common/Error.h"
#include "Gateway/RolloutTypes.h"
#include "Gateway/RoutingTypes.h"
#include "Gateway/RunnerTypes.h"
#include "Store/StoreTypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Pollenwind {

/// Target weights of a model: the version that the operator configured.
struct TargetWeights {
    std::string model;
    WeightsVersion version = 0;
};

/// The operator has taken a zone out of service, for as long as the record exists.
struct ZoneEvacuation {
    ZoneId zone;
};

/// Record that the operator or a runner wrote to the store; monostate for one that routers do not use.
using DecodedRecord
    = std::variant<std::monostate, RoutingConfiguration, RunnerEntry, TargetWeights, RolloutOrder, ZoneEvacuation>;

/// Decodes the records that the operator and the runners write to the store, and encodes those that the operator reads.
class RecordCodec {
public:
    RecordCodec() = default;
    RecordCodec(const RecordCodec&) = delete;
    RecordCodec& operator=(const RecordCodec&) = delete;
    virtual ~RecordCodec() = default;

    /// Reads a record.
    /// @return The record, or Malformed when it cannot be read.
    virtual Outcome<DecodedRecord> decode(const StoreEntry& entry) const = 0;

    /// @return The runner whose entry is kept under a key, or nothing for other keys.
    virtual std::optional<UpstreamId> runnerOf(std::string_view key) const = 0;

    /// @return The service whose roll-out is ordered under a key, or nothing for other keys.
    virtual std::optional<ServiceId> rolloutOrderOf(std::string_view key) const = 0;

    /// @return The zone that is out of service while a key exists, or nothing for other keys.
    virtual std::optional<ZoneId> evacuationOf(std::string_view) const { return std::nullopt; }

    /// Encodes the state of a roll-out for the operator.
    virtual StoreWrite encodeStatus(const RolloutStatus& status) const = 0;
};

} // namespace Pollenwind
