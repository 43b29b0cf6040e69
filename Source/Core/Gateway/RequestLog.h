#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Timeline/TimelineEvent.h"

#include <array>
#include <cstdint>

namespace Pollenwind {

/// Decision about a request.
enum class RequestEvent {
    Placed,
    Repeated,
    Resumed,
    Finished,
    Refused,
    Failed,
    Stopped,
};

template <> struct EnumTable<RequestEvent> {
    static constexpr std::array rows {
        EnumName { RequestEvent::Placed, "placed" },
        EnumName { RequestEvent::Repeated, "repeated" },
        EnumName { RequestEvent::Resumed, "resumed" },
        EnumName { RequestEvent::Finished, "finished" },
        EnumName { RequestEvent::Refused, "refused" },
        EnumName { RequestEvent::Failed, "failed" },
        EnumName { RequestEvent::Stopped, "stopped" },
    };
};

/// Logs decisions about requests, one line each, within a budget for each kind of decision. Lines of requests that
/// failed have a budget of their own, so that a flood of good ones does not hide them.
class RequestLog {
public:
    explicit RequestLog(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Logs a decision, or counts it as left out when the budget of its kind is used up.
    /// @param fields Inputs of the decision and its outcome; never a caller's key.
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
