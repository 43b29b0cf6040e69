#pragma once

#include "Common/Error.h"
#include "Moves/MoveTypes.h"
#include "Moves/VersionEvidence.h"

#include <string>
#include <string_view>

namespace Pollenwind {

std::string encodeMoveRecord(const MoveRecord& record);
Outcome<MoveRecord> decodeMoveRecord(std::string_view text);

/// Evidence of one router on one move.
struct EvidenceRecord {
    MoveId move;
    VmId vm;
    MoveEvidence evidence;
};

std::string encodeEvidenceRecord(const EvidenceRecord& record);
Outcome<EvidenceRecord> decodeEvidenceRecord(std::string_view text);

} // namespace Pollenwind
