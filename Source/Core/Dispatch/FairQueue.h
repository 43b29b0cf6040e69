#pragma once

#include "Common/Ids.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace Pollenwind {

/// One request that is waiting for an engine.
struct QueuedRequest {
    RequestId id;
    OrganisationId organisation;
    /// Weight of the organisation in fair sharing.
    double weight = 1;
    /// Cost of the request: prompt tokens and the most tokens that it may generate.
    double tokens = 0;
};

/// Bounded queue that serves organisations in proportion to their weights, measured in tokens (start-time fair
/// queueing). Requests of one organisation stay in order.
class FairQueue {
public:
    explicit FairQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds a request.
    /// @return If the queue is over its capacity, the request that was removed: the newest one of the organisation
    /// that is furthest over its share. It can be the one just added.
    std::optional<RequestId> push(const QueuedRequest& request);

    /// Removes and returns the request with the smallest start tag.
    std::optional<RequestId> pop();

    /// Removes a request. Unknown ids are ignored.
    void erase(const RequestId& id);

    std::size_t size() const { return m_size; }

private:
    struct Entry {
        RequestId id;
        double startTag = 0;
        double finishTag = 0;
    };
    struct Flow {
        std::deque<Entry> entries;
        /// Finish tag of the organisation's last request, including served ones.
        double lastFinish = 0;
    };

    RequestId shed();
    void removeIdleFlows();

    std::size_t m_capacity;
    std::size_t m_size = 0;
    /// Start tag of the request that was served last.
    double m_virtualTime = 0;
    std::map<OrganisationId, Flow> m_flows;
};

} // namespace Pollenwind
