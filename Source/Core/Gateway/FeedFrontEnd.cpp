#include "Gateway/FeedFrontEnd.h"

#include "Gateway/FeedCodec.h"
#include "Store/StorePosition.h"

#include <algorithm>
#include <charconv>

namespace Pollenwind {

namespace {

    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;

    constexpr std::int64_t maxWaitMs = 5000;

    // Each response with all records takes their size in memory; after a restart of all VMs, all followers of a zone
    // may ask for them at once.
    constexpr unsigned maxRecordReaders = 3;

    std::optional<std::int64_t> numberParameter(const HttpRequest& request, std::string_view name)
    {
        const auto text = request.parameter(name);
        std::int64_t number = 0;
        if (!text || text->empty()) {
            return std::nullopt;
        }
        const auto result = std::from_chars(text->data(), text->data() + text->size(), number);
        const bool isWhole = result.ec == std::errc() && result.ptr == text->data() + text->size() && number >= 0;
        return isWhole ? std::optional(number) : std::nullopt;
    }

} // namespace

FeedFrontEnd::FeedFrontEnd(
    const Clock& clock, ChangeLog& log, const FreshnessQueries& freshness, const FleetView& fleet)
    : m_clock(clock)
    , m_log(log)
    , m_freshness(freshness)
    , m_fleet(fleet)
{
    m_log.onChanged([this] { m_waiting.notifyAll(); });
}

HttpAnswer FeedFrontEnd::refusal(int status, std::string_view reason) const
{
    return { status, "text/plain", std::string(reason) + "\n", {} };
}

Task<> FeedFrontEnd::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.path == configurationPath) {
        co_await exchange.answer(answerConfiguration(request, exchange.remoteAddress()));
        co_return;
    }
    // The records contain API keys, so only VMs of the fleet may read them.
    if (!m_fleet.isMemberAddress(exchange.remoteAddress())) {
        co_await exchange.answer(refusal(statusForbidden, "not a VM of this zone"));
    } else if (m_log.revision() == 0) {
        co_await exchange.answer(refusal(statusUnavailable, "no records have been read yet"));
    } else if (request.path == recordsPath) {
        co_await sendRecords(exchange);
    } else if (request.path == changesPath) {
        const auto answer = co_await answerChanges(request);
        co_await exchange.answer(answer);
    } else {
        co_await exchange.answer(refusal(statusNotFound, "not found"));
    }
}

HttpAnswer FeedFrontEnd::answerConfiguration(const HttpRequest& request, std::string_view address) const
{
    const auto after = numberParameter(request, "after");
    if (!after) {
        return refusal(statusBadRequest, "\"after\" must be a whole number");
    }
    if (m_log.revision() == 0) {
        return refusal(statusUnavailable, "no records have been read yet");
    }
    FeedRecords records { { {}, m_log.revision() }, m_freshness.age() };
    const auto& configuration = m_log.configuration();
    if (configuration.version > *after) {
        if (!m_fleet.isFleetAddress(address)) {
            return refusal(statusForbidden, "not a VM of the fleet");
        }
        records.range.entries.push_back(configuration.entry);
    }
    // That there is nothing newer is told to each address: the record of a VM that has just started is not known yet.
    return { statusOk, "application/octet-stream", FeedCodec::encode(records), {} };
}

Task<> FeedFrontEnd::sendRecords(HttpExchange& exchange)
{
    if (m_recordReaders >= maxRecordReaders) {
        co_await exchange.answer(refusal(statusUnavailable, "too many VMs are reading all records"));
        co_return;
    }
    ++m_recordReaders;
    const FeedRecords records { m_log.records(), m_freshness.age() };
    co_await exchange.answer({ statusOk, "application/octet-stream", FeedCodec::encode(records), {} });
    --m_recordReaders;
}

Task<HttpAnswer> FeedFrontEnd::answerChanges(const HttpRequest& request)
{
    const auto after = numberParameter(request, "after");
    const auto wait = numberParameter(request, "wait_ms");
    if (!after || !wait) {
        co_return refusal(statusBadRequest, "\"after\" and \"wait_ms\" must be whole numbers");
    }
    if (StorePosition::isBefore(m_log.revision(), StorePosition::eraOf(*after))) {
        // The age of this VM's knowledge is no proof of freshness in the follower's era.
        co_return refusal(statusUnavailable, "this VM has not read the restored store yet");
    }
    const auto receivedAt = m_clock.now();
    auto changes = m_log.changesAfter(*after);
    if (changes && changes->events.empty()) {
        co_await m_waiting.waitFor(std::chrono::milliseconds(std::min(*wait, maxWaitMs)));
        changes = m_log.changesAfter(*after);
    }
    if (!changes) {
        co_return refusal(statusGone, "the changes after this revision are no longer known");
    }
    const FeedChanges reply { std::move(*changes), m_clock.now() - receivedAt, m_freshness.age() };
    co_return HttpAnswer { statusOk, "application/octet-stream", FeedCodec::encode(reply), {} };
}

} // namespace Pollenwind
