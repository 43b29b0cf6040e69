#pragma once

#include <cstdint>
#include <string>

namespace Pollenwind {

/// Takes over the records of quarantined parts as the store has them.
class QuarantineRecordCommands {
public:
    QuarantineRecordCommands() = default;
    QuarantineRecordCommands(const QuarantineRecordCommands&) = delete;
    QuarantineRecordCommands& operator=(const QuarantineRecordCommands&) = delete;
    virtual ~QuarantineRecordCommands() = default;

    /// Takes over a record. An unreadable one is logged and ignored.
    virtual void updateRecord(const std::string& key, const std::string& value, std::int64_t revision) = 0;
    /// Notes that a record's lease has ended. The quarantine itself goes on.
    virtual void markRecordErased(const std::string& key) = 0;
    /// Notes that all records of the store have been taken over as of a position. After a restore, those that were not
    /// among them are lost.
    virtual void endRead(std::int64_t position) = 0;
};

} // namespace Pollenwind
