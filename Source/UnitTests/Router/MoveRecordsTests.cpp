#include "Router/MoveRecords.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

// Guards against evidence of routers with fewer time bins that no longer decodes.
Test(MoveRecords, decodesEvidenceOfFewerTimeBins)
{
    const auto record = decodeEvidenceRecord(R"({"move":"m","vm":"v","old":{},"new":{"chat":{"requests":3,)"
                                             R"("failures":1,"first_token":[[0,1],[47,1]],"between_tokens":[]}}})");
    cr_assert(record.has_value());
    const auto& chat = record->evidence.newVersion.at("chat");
    cr_assert_eq(chat.requests, 3);
    cr_assert_eq(chat.firstTokenPerWork.total(), 2);
    cr_assert_eq(chat.firstTokenPerWork.bins()[47], 1);
}

// Guards against long times that get lost between routers.
Test(MoveRecords, keepsTheTimesOfSlowStreams)
{
    EvidenceRecord record;
    record.evidence.newVersion["chat"].timeBetweenTokens.add(std::chrono::seconds(30));
    const auto decoded = decodeEvidenceRecord(encodeEvidenceRecord(record));
    cr_assert(decoded.has_value());
    const auto& times = decoded->evidence.newVersion.at("chat").timeBetweenTokens;
    cr_assert_eq(times.binOfQuantile(0.5), TimeDistribution::binOf(std::chrono::seconds(30)));
}
