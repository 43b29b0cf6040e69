#pragma once

#include "Common/Sleep.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/Queries/FleetConfigurationQueries.h"
#include "Gateway/Queries/RecordCodec.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"

#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace Pollenwind {

/// A store in memory that can come back from an older copy, as its client presents it: positions instead of revisions,
/// and Conflict for a watch from an earlier era.
class RestoringStore final : public StoreQueries {
public:
    void put(const std::string& key, const std::string& value)
    {
        const StoreEntry entry { key, value, nextPosition(), LeaseId() };
        m_content.entries[key] = entry;
        m_changes.push_back({ false, entry });
    }
    void erase(const std::string& key)
    {
        m_content.entries.erase(key);
        m_changes.push_back({ true, { key, "", nextPosition(), LeaseId() } });
    }
    /// Keeps a copy from which restore() brings the store back.
    void copy() { m_copy = m_content; }
    void restore()
    {
        m_content = m_copy;
        ++m_era;
        for (auto& [key, entry] : m_content.entries) {
            entry.modRevision = toPosition(entry.modRevision & maxRevision);
        }
        m_changes.clear();
    }
    /// Makes the next watch fail as if the store had discarded its history.
    void forgetHistory() { m_oldest = position() + 1; }
    std::int64_t position() const { return toPosition(m_content.revision); }

    Task<Outcome<StoreRange>> read(std::string) override { co_return StoreRange {}; }
    Task<Outcome<StoreRange>> readPrefix(std::string) override
    {
        ++reads;
        if (isDown) {
            co_return fail(ErrorCode::StoreUnavailable, "down");
        }
        StoreRange range { {}, readPosition.value_or(position()) };
        for (const auto& [key, entry] : m_content.entries) {
            range.entries.push_back(entry);
        }
        m_oldest = 0;
        co_return range;
    }
    Task<Outcome<WatchId>> openWatch(std::string, std::int64_t from) override
    {
        m_watchedTo = from - 1;
        co_return WatchId(1);
    }
    Task<Outcome<StoreEvents>> nextEvents(WatchId id) override { return nextEventsWithin(id, maxWait); }
    Task<Outcome<StoreEvents>> nextEventsWithin(WatchId, std::chrono::milliseconds) override
    {
        for (int step = 0; step < maxWait / waitStep; ++step) {
            if (isDown) {
                co_return fail(ErrorCode::StoreUnavailable, "down");
            }
            if (m_watchedTo < toPosition(0) || m_watchedTo < m_oldest) {
                co_return fail(ErrorCode::Conflict, "no such history");
            }
            StoreEvents changes { {}, position() };
            for (const auto& change : m_changes) {
                if (change.entry.modRevision > m_watchedTo) {
                    changes.events.push_back(change);
                }
            }
            if (!changes.events.empty()) {
                m_watchedTo = changes.revision;
                co_return changes;
            }
            co_await sleepFor(waitStep);
        }
        co_return StoreEvents { {}, position() };
    }
    void closeWatch(WatchId) override { }
    Task<Outcome<VmList>> listVms() override { co_return VmList {}; }

    bool isDown = false;
    /// Position that reads show instead of the store's.
    std::optional<std::int64_t> readPosition;
    unsigned reads = 0;

private:
    static constexpr std::int64_t maxRevision = (std::int64_t { 1 } << 40) - 1;
    static constexpr std::chrono::milliseconds waitStep { 2 };
    static constexpr std::chrono::milliseconds maxWait { 20 };

    struct Content {
        std::int64_t revision = 10;
        std::map<std::string, StoreEntry> entries;
    };

    std::int64_t toPosition(std::int64_t revision) const { return (m_era << 40) + revision; }
    std::int64_t nextPosition() { return toPosition(++m_content.revision); }

    Content m_content;
    Content m_copy;
    std::int64_t m_era = 1;
    std::vector<StoreEvent> m_changes;
    std::int64_t m_watchedTo = 0;
    /// Position before which no watch may begin.
    std::int64_t m_oldest = 0;
};

/// Store commands without an effect.
class IgnoredCommands final : public StoreCommands {
public:
    Task<Outcome<SwapResult>> compareAndSwap(std::string, std::int64_t, std::string, LeaseId) override
    {
        co_return SwapResult {};
    }
    Task<Outcome<SwapResult>> compareAndErase(std::string, std::int64_t) override { co_return SwapResult {}; }
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override { co_return LeaseId(1); }
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId) override { co_return std::chrono::seconds(1); }
    Task<Outcome<void>> revoke(LeaseId) override { co_return Outcome<void> {}; }
};

/// Other VMs that know no newer configuration, unless a test sets one.
class ScriptedFleetConfigurations final : public FleetConfigurationQueries {
public:
    Task<std::vector<StoreEntry>> readNewer(std::int64_t version) override
    {
        asked.push_back(version);
        while (isHeld) {
            co_await sleepFor(std::chrono::milliseconds(1));
        }
        co_return newer;
    }
    Task<std::vector<StoreEntry>> readNewerOnce(std::int64_t version) override { return readNewer(version); }
    Task<std::vector<StoreEntry>> readNewerFromOthers(std::int64_t) override { co_return newerLater; }
    bool hasAnswered() const override { return isAnswered; }

    /// Versions that the VMs were asked for.
    std::vector<std::int64_t> asked;
    std::vector<StoreEntry> newer;
    /// Whether the VMs do not answer yet.
    bool isHeld = false;
    /// Whether enough VMs have answered.
    bool isAnswered = true;
    std::vector<StoreEntry> newerLater;
};

/// Records as short texts: "config" is a version and its keys, "target" a version of weights, "runner/ID" an
/// incarnation and "ready" or "draining", "evacuate/ZONE" anything. A "config" without a version cannot be read.
class TextCodec final : public RecordCodec {
public:
    static constexpr std::string_view runnerPrefix = "runner/";

    Outcome<DecodedRecord> decode(const StoreEntry& entry) const override
    {
        std::istringstream text(entry.value);
        std::int64_t number = 0;
        text >> number;
        std::string word;
        if (entry.key == "config" && number == 0) {
            return fail(ErrorCode::Malformed, "no version");
        }
        if (entry.key == "config") {
            RoutingConfiguration configuration { number };
            configuration.organisations.push_back({ OrganisationId("org") });
            while (text >> word) {
                configuration.organisations.front().keyDigests.push_back(sha256(word));
            }
            return configuration;
        }
        if (entry.key == "target") {
            return TargetWeights { "model", number };
        }
        if (auto zone = evacuationOf(entry.key)) {
            return ZoneEvacuation { std::move(*zone) };
        }
        const auto id = runnerOf(entry.key);
        if (!id) {
            return DecodedRecord {};
        }
        auto runner = makeRunner(id->value());
        runner.incarnation = Incarnation(static_cast<std::uint64_t>(number));
        text >> word;
        runner.state = word == "draining" ? RunnerState::Draining : RunnerState::Ready;
        return runner;
    }
    std::optional<UpstreamId> runnerOf(std::string_view key) const override
    {
        return key.starts_with(runnerPrefix) ? std::optional(UpstreamId(std::string(key.substr(runnerPrefix.size()))))
                                             : std::nullopt;
    }
    std::optional<ServiceId> rolloutOrderOf(std::string_view) const override { return std::nullopt; }
    std::optional<ZoneId> evacuationOf(std::string_view key) const override
    {
        constexpr std::string_view prefix = "evacuate/";
        return key.starts_with(prefix) ? std::optional(ZoneId(std::string(key.substr(prefix.size())))) : std::nullopt;
    }
    StoreWrite encodeStatus(const RolloutStatus&) const override { return {}; }
};

} // namespace Pollenwind
