#pragma once

#include "Common/Ids.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace Pollenwind {

/// One request that waits for an engine.
struct QueuedRequest {
    RequestId id;
    OrganisationId organisation;
    /// Weight of the organisation in fair sharing.
    double weight = 1;
    /// Work that the request asks for.
    double tokens = 0;
};

/// Bounded queue that shares the work between organisations in proportion to their weights (start-time fair queueing,
/// counted in tokens). Requests of one organisation keep their order.
class FairQueue {
public:
    explicit FairQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds a request.
    /// @return When the queue is over its capacity, the request that leaves it: the newest one of the organisation
    /// that is furthest over its share. It can be the one just added.
    std::optional<RequestId> push(const QueuedRequest& request);

    /// Takes the request that is due next.
    std::optional<RequestId> pop();

    /// Removes a request that no longer waits. Unknown ids are ignored.
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
        /// Finish tag of the organisation's last request, served ones included.
        double lastFinish = 0;
    };

    RequestId shed();
    void removeIdleFlows();

    std::size_t m_capacity;
    std::size_t m_size = 0;
    /// Start tag of the request served last.
    double m_virtualTime = 0;
    std::map<OrganisationId, Flow> m_flows;
};

} // namespace Pollenwind
