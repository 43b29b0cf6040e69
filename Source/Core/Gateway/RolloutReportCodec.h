#pragma once

#include "Gateway/FleetMessages_generated.h"
#include "Gateway/RolloutTypes.h"

#include <vector>

namespace Pollenwind::RolloutReportCodec {

using Offsets = flatbuffers::Vector<flatbuffers::Offset<wire::Rollout>>;

/// Adds the roll-outs of a report to its message. Times are written as sparse distributions.
flatbuffers::Offset<Offsets> create(flatbuffers::FlatBufferBuilder& builder, const std::vector<RolloutReport>& reports);

/// Reads the roll-outs of a verified message.
/// @param rollouts May be null, for a sender of an older release.
std::vector<RolloutReport> read(const Offsets* rollouts);

} // namespace Pollenwind::RolloutReportCodec
