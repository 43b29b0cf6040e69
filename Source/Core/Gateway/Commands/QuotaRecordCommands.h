#pragma once

#include <cstdint>
#include <string>

namespace Pollenwind {

/// Takes over the record of the organisations in heavy use as the store has it.
class QuotaRecordCommands {
public:
    QuotaRecordCommands() = default;
    QuotaRecordCommands(const QuotaRecordCommands&) = delete;
    QuotaRecordCommands& operator=(const QuotaRecordCommands&) = delete;
    virtual ~QuotaRecordCommands() = default;

    /// Takes over the record. An unreadable one is logged and counts as missing.
    virtual void updateRecord(const std::string& value, std::int64_t revision) = 0;
    /// Notes that the record was erased.
    virtual void markRecordErased() = 0;
    /// Notes that all records of the store have been taken over as of a position, the configuration included. The first
    /// call decides how the quotas of this process start.
    virtual void endRead(std::int64_t position) = 0;
};

} // namespace Pollenwind
