#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Timeline/TimelineEvent.h"

#include <array>
#include <cstdint>

namespace Pollenwind {

/// Kind of a logged decision about a request.
enum class RequestEvent {
    /// Waits for the tokens of its organisation before it is sent.
    Queued,
    /// Sent to a runner.
    Placed,
    /// Not sent to its runner, which became unavailable meanwhile; another one is chosen.
    Diverted,
    /// An attempt failed; the request may be sent again.
    Repeated,
    /// A copy was sent to a second runner.
    Hedged,
    /// The race between a request and its copy ended.
    HedgeEnded,
    /// The request was slow and was not copied.
    HedgeSuppressed,
    /// A stream is resumed after its last event.
    Resumed,
    Finished,
    /// Ended with an error without having run.
    Refused,
    Failed,
    /// The caller disconnected.
    Stopped,
    /// This VM closed a connection without a complete response.
    ConnectionClosed,
    /// The caller closed a connection before a complete response.
    ConnectionLeft,
};

template <> struct EnumTable<RequestEvent> {
    static constexpr std::array rows {
        EnumName { RequestEvent::Queued, "queued" },
        EnumName { RequestEvent::Placed, "placed" },
        EnumName { RequestEvent::Diverted, "diverted" },
        EnumName { RequestEvent::Repeated, "repeated" },
        EnumName { RequestEvent::Hedged, "hedged" },
        EnumName { RequestEvent::HedgeEnded, "hedge-ended" },
        EnumName { RequestEvent::HedgeSuppressed, "hedge-suppressed" },
        EnumName { RequestEvent::Resumed, "resumed" },
        EnumName { RequestEvent::Finished, "finished" },
        EnumName { RequestEvent::Refused, "refused" },
        EnumName { RequestEvent::Failed, "failed" },
        EnumName { RequestEvent::Stopped, "stopped" },
        EnumName { RequestEvent::ConnectionClosed, "connection-closed" },
        EnumName { RequestEvent::ConnectionLeft, "connection-left" },
    };
};

/// Logs decisions about requests, one line each, with a rate limit for each kind of decision. Since each kind has its
/// own limit, a high rate of successful requests does not suppress the lines of failed ones.
class RequestLog {
public:
    explicit RequestLog(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Logs a decision, or counts it as skipped if the budget of its kind is used up. The next line of the kind reports
    /// the number of skipped ones.
    /// @param fields Inputs of the decision and its outcome; must not contain a caller's key.
    void record(RequestEvent event, const RequestId& request, EventFields fields);

private:
    struct Budget {
        double lines = 0;
        MonotonicTime refilledAt { 0 };
        std::uint64_t skipped = 0;
    };

    const Clock& m_clock;
    std::array<Budget, EnumTable<RequestEvent>::rows.size()> m_budgets {};
};

} // namespace Pollenwind
