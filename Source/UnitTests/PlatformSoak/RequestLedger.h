#pragma once

#include "Gateway/RoutingTypes.h"
#include "PlatformSoak/GatewaySoakTypes.h"
#include "Transport/HttpTypes.h"

#include <optional>

namespace Pollenwind {

/// Records which requests the callers sent and the runners executed, and checks the guarantees as events arrive.
class RequestLedger {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit RequestLedger(GatewaySoakReport& report)
        : m_report(report)
    {
    }

    /// Records a request that a caller is about to send.
    /// @param key Number of its caller key, or nothing on a public route.
    /// @param process Process that gets the request: name of the VM and number of its start, separated by '/'.
    void recordSent(const std::string& id, RequestKind kind, bool isResumable, std::string body,
        std::optional<std::size_t> key, std::string process);
    /// Records that a caller received a response that guarantees that the request did not run.
    void recordRefused(const std::string& id);
    /// Records that a runner starts to execute a request.
    void recordRun(const HttpRequest& request);
    /// Records that a runner has written a complete response, and that its link has been healthy since the request
    /// arrived.
    void recordAnswered(const std::string& id);

    /// Caller key that is in use.
    std::string key() const { return keyName(m_keys); }
    std::size_t keyNumber() const { return m_keys; }
    /// Number of the key that was replaced last, or of the one in use if none was replaced.
    std::size_t previousKeyNumber() const { return m_keys > 0 ? m_keys - 1 : 0; }
    static std::string keyName(std::size_t number) { return "soak-key-" + std::to_string(number); }
    /// Replaces the key in use by a new one.
    void replaceKey();
    /// Records the time at which the withdrawal of a key was written to the store.
    void recordKeyWithdrawn(std::size_t number) { m_withdrawnAt[number] = std::chrono::steady_clock::now(); }

    bool wasAnswered(const std::string& id) const;
    Time sentAt(const std::string& id) const { return m_requests.at(id).sentAt; }
    /// Process to which a caller sent the request; empty for an unknown request.
    std::string processOf(const std::string& id) const;

private:
    struct Entry {
        RequestKind kind = RequestKind::Safe;
        bool isResumable = false;
        std::string body;
        std::optional<std::size_t> key;
        Time sentAt;
        std::string process;
        unsigned runs = 0;
        bool isRefused = false;
        bool isAnswered = false;
    };

    bool mayRepeat(const Entry& entry) const { return entry.kind == RequestKind::Safe || entry.isResumable; }

    GatewaySoakReport& m_report;
    std::map<std::string, Entry> m_requests;
    std::size_t m_keys = 0;
    std::map<std::size_t, Time> m_withdrawnAt;
};

} // namespace Pollenwind
