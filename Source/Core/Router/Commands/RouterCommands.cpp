#include "Router/Commands/RouterCommands.h"

#include "Common/JsonFields.h"
#include "Config/Queries/CheckDocument.h"
#include "Router/Queries/KeyDigest.h"
#include "Router/StoreKeys.h"
#include "Router/StoreRecords.h"

#include <algorithm>
#include <optional>

namespace Pollenwind {

namespace {

    using JsonFields::Json;
    using JsonFields::readString;

    constexpr int maxWriteAttempts = 5;

    Outcome<std::optional<std::int64_t>> readBase(const Json& object)
    {
        const auto it = object.find("base_revision");
        if (it == object.end() || it->is_null()) {
            return std::nullopt;
        }
        if (!it->is_number_integer()) {
            return fail(ErrorCode::Malformed, "\"base_revision\" must be a whole number");
        }
        return it->get<std::int64_t>();
    }

    std::string appliedBody(std::int64_t revision, bool isRepeated)
    {
        return Json { { "revision", revision }, { "repeated", isRepeated } }.dump();
    }

    Json reportObject(const PropagationReport& report)
    {
        Json notReached = Json::array();
        for (const auto& vm : report.notReached) {
            notReached.push_back(vm.value());
        }
        return { { "in_force", report.inForce }, { "members", report.members }, { "not_reached", notReached } };
    }

} // namespace

ApplyCommand::ApplyCommand(
    StoreCommands& storeCommands, StoreQueries& storeQueries, ConfigurationCommands& configuration)
    : m_storeCommands(storeCommands)
    , m_storeQueries(storeQueries)
    , m_configuration(configuration)
{
}

Task<Outcome<std::string>> ApplyCommand::run(const HttpRequest& request)
{
    const auto json = Json::parse(request.body, nullptr, false);
    const auto change = json.is_object() ? readString(json, "change") : "";
    if (change.empty()) {
        co_return fail(ErrorCode::Malformed, "the body needs a \"change\" id");
    }
    const auto wantedBase = readBase(json);
    if (!wantedBase) {
        co_return std::unexpected(wantedBase.error());
    }
    const auto document = readString(json, "document");
    const auto checked = checkDocument(document);
    if (!checked) {
        co_return fail(ErrorCode::Malformed, formatFault("document", checked.error().front()));
    }
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const auto range = co_await m_storeQueries.read(std::string(StoreKeys::configuration));
        if (!range) {
            co_return std::unexpected(range.error());
        }
        ConfigurationRecord previous;
        std::int64_t base = 0;
        if (!range->entries.empty()) {
            base = range->entries.front().modRevision;
            previous = decodeConfigurationRecord(range->entries.front().value).value_or(ConfigurationRecord());
        }
        // An earlier call whose response was lost may have written this change.
        const auto& recent = previous.recentChanges;
        if (std::find(recent.begin(), recent.end(), change) != recent.end()) {
            co_return appliedBody(base, true);
        }
        if (wantedBase->value_or(base) != base) {
            co_return fail(ErrorCode::Conflict,
                "revision " + std::to_string(base) + " by \"" + previous.operatorName + "\" (change " + previous.change
                    + ") was applied meanwhile");
        }
        ConfigurationRecord next { change, readString(json, "operator"), recent, document };
        next.recentChanges.insert(next.recentChanges.begin(), change);
        next.recentChanges.resize(std::min(next.recentChanges.size(), keptChangeIds));
        const auto swapped = co_await m_storeCommands.compareAndSwap(
            std::string(StoreKeys::configuration), base, encodeConfigurationRecord(next), {});
        if (swapped && swapped->isSwapped) {
            m_configuration.adopt(Revision(swapped->revision), document);
            co_return appliedBody(swapped->revision, false);
        }
        // The response was lost or another write came first: the next read shows which.
    }
    co_return fail(ErrorCode::StoreUnavailable, "the store did not confirm the change", RunState::Unknown);
}

KeyCommand::KeyCommand(StoreCommands& storeCommands, StoreQueries& storeQueries, KeyCommands& keys,
    const KeyQueries& keyQueries, const ConfigurationQueries& configuration, WithdrawalCommands& withdrawals)
    : m_storeCommands(storeCommands)
    , m_storeQueries(storeQueries)
    , m_keys(keys)
    , m_keyQueries(keyQueries)
    , m_configuration(configuration)
    , m_withdrawals(withdrawals)
{
}

Task<Outcome<std::string>> KeyCommand::run(const HttpRequest& request)
{
    const auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        co_return fail(ErrorCode::Malformed, "the body must be a JSON object");
    }
    const auto digest = resolveKeyDigest(m_keyQueries, readString(json, "digest"));
    if (!digest) {
        co_return std::unexpected(digest.error());
    }
    const auto record = decodeKeyRecord(*digest, request.body);
    if (!record) {
        co_return fail(ErrorCode::Malformed, "the body needs \"digest\", \"organisation\" and \"state\"");
    }
    const auto& organisations = m_configuration.current()->document.organisations;
    if (record->state == KeyState::Valid && !organisations.contains(record->organisation)) {
        co_return fail(
            ErrorCode::NotFound, "the service document has no organisation \"" + record->organisation.value() + "\"");
    }
    const auto stored = co_await writeStore(*record);
    if (!stored && stored.error().code == ErrorCode::StoreUnavailable && record->state == KeyState::Withdrawn) {
        co_return co_await withdrawWithoutStore(*record, stored.error());
    }
    if (!stored) {
        co_return std::unexpected(stored.error());
    }
    m_keys.merge(stored->record);
    if (record->state == KeyState::Valid) {
        co_return appliedBody(stored->revision, stored->isRepeated);
    }
    const auto report = co_await m_withdrawals.propagateWithdrawal(stored->record);
    auto body = reportObject(report);
    body["revision"] = stored->revision;
    body["repeated"] = stored->isRepeated;
    body["stored"] = true;
    co_return body.dump();
}

Task<Outcome<std::string>> KeyCommand::withdrawWithoutStore(KeyRecord record, Error storeError)
{
    // The organisation in the request cannot be checked against the store here, so the record known to this router is
    // used.
    const auto records = m_keyQueries.records();
    const auto known = std::ranges::find_if(records, [&](const KeyRecord& it) { return it.digest == record.digest; });
    if (known == records.end()) {
        co_return fail(ErrorCode::StoreUnavailable, "this router does not know the key, and " + storeError.message,
            storeError.runState);
    }
    record.organisation = known->organisation;
    const auto report = co_await m_withdrawals.propagateWithdrawal(record);
    auto body = reportObject(report);
    if (!report.hasZoneMajority) {
        co_return fail(ErrorCode::StoreUnavailable,
            "the withdrawal is not accepted: " + storeError.message + ", and no majority of the zones was reached "
                + body.dump(),
            RunState::Unknown);
    }
    body["stored"] = false;
    co_return body.dump();
}

Task<Outcome<KeyCommand::StoreResult>> KeyCommand::writeStore(KeyRecord record)
{
    const auto key = StoreKeys::keyRecord(record.digest);
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const auto range = co_await m_storeQueries.read(key);
        if (!range) {
            co_return std::unexpected(range.error());
        }
        KeyRecord next = record;
        std::int64_t base = 0;
        if (!range->entries.empty()) {
            base = range->entries.front().modRevision;
            const auto stored = decodeKeyRecord(toHex(record.digest), range->entries.front().value);
            if (stored && stored->state == KeyState::Withdrawn && record.state == KeyState::Valid) {
                co_return fail(ErrorCode::Conflict, "the key was withdrawn and cannot be given again");
            }
            if (stored && stored->state == record.state) {
                co_return StoreResult { base, true, *stored };
            }
            if (stored) {
                next.organisation = stored->organisation;
            }
        } else if (record.state == KeyState::Withdrawn) {
            co_return fail(ErrorCode::NotFound, "the key does not exist");
        }
        const auto swapped = co_await m_storeCommands.compareAndSwap(key, base, encodeKeyRecord(next), {});
        if (swapped && swapped->isSwapped) {
            co_return StoreResult { swapped->revision, false, next };
        }
    }
    co_return fail(ErrorCode::StoreUnavailable, "the store did not confirm the change", RunState::Unknown);
}

DrainCommand::DrainCommand(std::function<void()> drain)
    : m_drain(std::move(drain))
{
}

Task<Outcome<std::string>> DrainCommand::run(const HttpRequest&)
{
    m_drain();
    co_return R"({"draining":true})";
}

} // namespace Pollenwind
