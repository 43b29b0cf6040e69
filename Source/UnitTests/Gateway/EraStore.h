#pragma once

#include "Store/Commands/StoreCommands.h"
#include "Store/StorePosition.h"

#include <map>
#include <set>
#include <string>

namespace Pollenwind {

/// Store in memory that can be restored from a copy, as the store client shows it: revisions and leases are positions,
/// those of an earlier era are refused, and revisions and lease ids are given out again.
class EraStore final : public StoreCommands {
public:
    struct Content {
        std::map<std::string, StoreEntry> entries;
        std::set<std::int64_t> leases;
        std::int64_t revision = 100;
        std::int64_t lastLease = 0;
    };

    Content copy() const { return content; }

    /// Brings the store back from a copy. The entries keep their revisions, in a new era.
    void restore(Content copied)
    {
        content = std::move(copied);
        era = StoreEra(era.value() + 1);
        for (auto& [key, entry] : content.entries) {
            entry.modRevision = position(StorePosition::revisionOf(entry.modRevision));
            entry.lease = LeaseId(position(StorePosition::revisionOf(entry.lease.value())));
        }
    }

    std::int64_t position(std::int64_t number) const { return StorePosition::encode(era, number).value(); }
    std::int64_t currentPosition() const { return position(content.revision); }

    /// Writes an entry as the operator or another VM does.
    /// @return The entry as the store has it.
    StoreEntry write(const std::string& key, std::string value, LeaseId lease = {})
    {
        return content.entries[key] = { key, std::move(value), position(++content.revision), lease };
    }

    /// The entry of a key, or one without a revision.
    StoreEntry find(std::string_view key) const
    {
        const auto it = content.entries.find(std::string(key));
        return it == content.entries.end() ? StoreEntry {} : it->second;
    }

    Task<Outcome<SwapResult>> compareAndSwap(
        std::string key, std::int64_t expected, std::string value, LeaseId lease) override
    {
        const auto result = swap(key, expected, std::move(value), lease);
        if (std::exchange(losesNextAnswer, false)) {
            co_return fail(ErrorCode::Conflict, "the store was restored", RunState::Unknown);
        }
        co_return result;
    }

    Task<Outcome<SwapResult>> compareAndSwapWith(StoreWrite record, std::int64_t expected, StoreWrite also) override
    {
        const auto result = swap(record.key, expected, std::move(record.value), {});
        if (result && result->isSwapped) {
            write(also.key, also.value);
            pairs.push_back(std::move(also));
        }
        if (std::exchange(losesNextAnswer, false)) {
            co_return fail(ErrorCode::Conflict, "the store was restored", RunState::Unknown);
        }
        co_return result;
    }

    Task<Outcome<SwapResult>> compareAndErase(std::string key, std::int64_t expected) override
    {
        if (StorePosition::isBefore(expected, era)) {
            co_return fail(ErrorCode::Conflict, "an earlier era");
        }
        const auto it = content.entries.find(key);
        if (it == content.entries.end()) {
            co_return SwapResult {};
        }
        if (it->second.modRevision != expected) {
            co_return SwapResult { false, 0, it->second };
        }
        content.entries.erase(it);
        co_return SwapResult { true, position(++content.revision), std::nullopt };
    }

    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override
    {
        const auto lease = position(++content.lastLease);
        content.leases.insert(content.lastLease);
        co_return LeaseId(lease);
    }

    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId lease) override
    {
        ++renewals;
        if (!hasLease(lease)) {
            co_return fail(ErrorCode::NotFound, "no such lease");
        }
        co_return std::chrono::seconds(2);
    }

    Task<Outcome<void>> revoke(LeaseId) override { co_return Outcome<void> {}; }

    Content content;
    StoreEra era { 1 };
    /// Second writes of pairs, in order.
    std::vector<StoreWrite> pairs;
    unsigned writes = 0;
    unsigned renewals = 0;
    /// Executes the next write and reports it as in doubt.
    bool losesNextAnswer = false;
    /// Key whose writes fail without an effect.
    std::string failingKey;

private:
    bool hasLease(const LeaseId& lease) const
    {
        return !StorePosition::isBefore(lease.value(), era)
            && content.leases.contains(StorePosition::revisionOf(lease.value()));
    }

    Outcome<SwapResult> swap(const std::string& key, std::int64_t expected, std::string value, LeaseId lease)
    {
        ++writes;
        if (key == failingKey) {
            return fail(ErrorCode::StoreUnavailable, "rejected");
        }
        if (StorePosition::isBefore(expected, era)) {
            return fail(ErrorCode::Conflict, "an earlier era");
        }
        if (lease != LeaseId() && !hasLease(lease)) {
            return fail(ErrorCode::NotFound, "no such lease");
        }
        const auto found = content.entries.find(key);
        if ((found == content.entries.end() ? 0 : found->second.modRevision) != expected) {
            return SwapResult { false, 0,
                found == content.entries.end() ? std::optional<StoreEntry>() : std::optional(found->second) };
        }
        return SwapResult { true, write(key, std::move(value), lease).modRevision, std::nullopt };
    }
};

} // namespace Pollenwind
