#pragma once

#include "Common/Clock.h"
#include "Common/WaitList.h"
#include "Gateway/ChangeLog.h"
#include "Gateway/FleetView.h"
#include "Gateway/Queries/FreshnessQueries.h"
#include "Transport/HttpServer.h"

#include <string_view>

namespace Pollenwind {

/// Passes the store's records on to the other VMs of the zone, which wait for changes with long polls, and the
/// configuration in force to VMs of all zones.
class FeedFrontEnd final : public HttpHandler {
public:
    static constexpr std::string_view recordsPath = "/feed/records";
    static constexpr std::string_view changesPath = "/feed/changes";
    static constexpr std::string_view configurationPath = "/feed/configuration";
    static constexpr int statusOk = 200;
    static constexpr int statusForbidden = 403;
    /// The changes after the given revision are no longer known.
    static constexpr int statusGone = 410;

    /// @param log Notifies this object of changes; must outlive it.
    FeedFrontEnd(const Clock& clock, ChangeLog& log, const FreshnessQueries& freshness, const FleetView& fleet);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view reason) const override;

private:
    Task<> sendRecords(HttpExchange& exchange);
    /// Returns the configuration in force if it is newer than the version that the request names.
    HttpAnswer answerConfiguration(const HttpRequest& request, std::string_view address) const;
    Task<HttpAnswer> answerChanges(const HttpRequest& request);

    const Clock& m_clock;
    ChangeLog& m_log;
    const FreshnessQueries& m_freshness;
    const FleetView& m_fleet;
    /// Requests that wait for a change.
    WaitList m_waiting;
    /// Responses with all records that are being sent.
    unsigned m_recordReaders = 0;
};

} // namespace Pollenwind
