#include "Router/Commands/MoveAdminCommands.h"

#include "Common/JsonFields.h"
#include "Router/MoveRecords.h"
#include "Router/StoreKeys.h"

namespace Pollenwind {

namespace {

    using JsonFields::Json;
    using JsonFields::readString;

    constexpr int maxWriteAttempts = 5;
    constexpr std::chrono::hours longestMove { 30 * 24 };
    constexpr std::chrono::milliseconds latestDeadline { 9'000'000'000'000 };

    struct StoredMove {
        std::int64_t revision = 0;
        std::optional<MoveRecord> record;
    };

    Task<Outcome<StoredMove>> readMove(StoreQueries& store, ServiceId service)
    {
        const auto range = co_await store.read(std::string(StoreKeys::moves) + service.value());
        if (!range) {
            co_return std::unexpected(range.error());
        }
        StoredMove stored;
        if (!range->entries.empty()) {
            stored.revision = range->entries.front().modRevision;
            auto record = decodeMoveRecord(range->entries.front().value);
            if (!record) {
                co_return std::unexpected(record.error());
            }
            stored.record = std::move(*record);
        }
        co_return stored;
    }

    std::string describe(const MoveRecord& record)
    {
        return "the move to \"" + record.to.value() + "\" by \"" + record.operatorName + "\" is "
            + std::string(nameOf(record.state));
    }

    std::string answerBody(std::int64_t revision, const MoveRecord& record)
    {
        return Json {
            { "revision", revision }, { "move", record.id.value() }, { "state", nameOf(record.state) }
        }.dump();
    }

} // namespace

MoveStartCommand::MoveStartCommand(const Clock& clock, const ConfigurationQueries& configuration,
    StoreCommands& storeCommands, StoreQueries& storeQueries, MoveCommands& moves)
    : m_clock(clock)
    , m_configuration(configuration)
    , m_storeCommands(storeCommands)
    , m_storeQueries(storeQueries)
    , m_moves(moves)
{
}

Outcome<MoveRecord> MoveStartCommand::parse(const HttpRequest& request) const
{
    const auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("deadline_ms") || !json["deadline_ms"].is_number_integer()) {
        return fail(ErrorCode::Malformed, "the body needs \"change\", \"service\", \"to\" and \"deadline_ms\"");
    }
    MoveRecord record;
    record.id = MoveId(readString(json, "change"));
    record.service = ServiceId(readString(json, "service"));
    record.to = VersionId(readString(json, "to"));
    record.operatorName = readString(json, "operator");
    record.orderedAt = m_clock.wallNow();
    record.stepSince = record.orderedAt;
    // Checked in milliseconds first, since larger values overflow the nanoseconds of WallTime.
    const auto deadline = json["deadline_ms"].get<std::int64_t>();
    if (deadline < 0 || deadline > latestDeadline.count()) {
        return fail(ErrorCode::Malformed, "\"deadline_ms\" is out of range");
    }
    record.deadline = std::chrono::milliseconds(deadline);
    if (record.id.value().empty() || record.to.value().empty()) {
        return fail(ErrorCode::Malformed, "\"change\" and \"to\" must not be empty");
    }
    if (record.deadline > record.orderedAt + longestMove) {
        return fail(ErrorCode::Malformed, "the deadline must be at most 30 days ahead");
    }
    if (record.deadline <= record.orderedAt) {
        return fail(ErrorCode::Malformed, "the deadline has passed");
    }
    const auto configuration = m_configuration.current();
    const auto service = configuration->document.services.find(record.service);
    if (service == configuration->document.services.end()) {
        return fail(ErrorCode::NotFound, "no service named \"" + record.service.value() + "\"");
    }
    if (service->second.kind != ServiceKind::Model) {
        return fail(ErrorCode::Malformed, "only model services load versions");
    }
    record.from = service->second.version;
    return record;
}

Task<Outcome<std::string>> MoveStartCommand::run(const HttpRequest& request)
{
    auto record = parse(request);
    if (!record) {
        co_return std::unexpected(record.error());
    }
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const auto stored = co_await readMove(m_storeQueries, record->service);
        if (!stored) {
            co_return std::unexpected(stored.error());
        }
        if (stored->record) {
            const auto& previous = *stored->record;
            if (previous.id == record->id) {
                // An earlier call whose response was lost wrote this order.
                co_return answerBody(stored->revision, previous);
            }
            if (!isFinal(previous.state)) {
                co_return fail(ErrorCode::Conflict, describe(previous));
            }
            record->from = previous.state == MoveState::Done ? previous.to : previous.from;
        }
        if (record->to == record->from) {
            co_return fail(ErrorCode::Conflict, "the service runs \"" + record->to.value() + "\" already");
        }
        const auto swapped = co_await m_storeCommands.compareAndSwap(
            std::string(StoreKeys::moves) + record->service.value(), stored->revision, encodeMoveRecord(*record), {});
        if (swapped && swapped->isSwapped) {
            m_moves.adopt(swapped->revision, *record);
            co_return answerBody(swapped->revision, *record);
        }
    }
    co_return fail(ErrorCode::StoreUnavailable, "the store did not confirm the order", RunState::Unknown);
}

MoveCancelCommand::MoveCancelCommand(
    const Clock& clock, StoreCommands& storeCommands, StoreQueries& storeQueries, MoveCommands& moves)
    : m_clock(clock)
    , m_storeCommands(storeCommands)
    , m_storeQueries(storeQueries)
    , m_moves(moves)
{
}

Task<Outcome<std::string>> MoveCancelCommand::run(const HttpRequest& request)
{
    const auto json = Json::parse(request.body, nullptr, false);
    const ServiceId service(json.is_object() ? readString(json, "service") : "");
    if (service.value().empty()) {
        co_return fail(ErrorCode::Malformed, "the body needs \"service\"");
    }
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const auto stored = co_await readMove(m_storeQueries, service);
        if (!stored) {
            co_return std::unexpected(stored.error());
        }
        if (!stored->record) {
            co_return fail(ErrorCode::NotFound, "the service has no move");
        }
        auto next = *stored->record;
        if (next.state == MoveState::RolledBack) {
            co_return answerBody(stored->revision, next);
        }
        if (next.state == MoveState::Done) {
            co_return fail(ErrorCode::Conflict, describe(next));
        }
        next.state = MoveState::RolledBack;
        next.reason = MoveReason::Cancelled;
        next.stepSince = m_clock.wallNow();
        const auto swapped = co_await m_storeCommands.compareAndSwap(
            std::string(StoreKeys::moves) + service.value(), stored->revision, encodeMoveRecord(next), {});
        if (swapped && swapped->isSwapped) {
            m_moves.adopt(swapped->revision, next);
            co_return answerBody(swapped->revision, next);
        }
    }
    co_return fail(ErrorCode::StoreUnavailable, "the store did not confirm the order", RunState::Unknown);
}

} // namespace Pollenwind
