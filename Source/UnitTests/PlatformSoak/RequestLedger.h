#pragma once

#include "Gateway/RoutingTypes.h"
#include "PlatformSoak/GatewaySoakTypes.h"
#include "Transport/HttpTypes.h"

#include <optional>

namespace Pollenwind {

/// What the callers sent and what the runners ran of it, checked as it happens.
class RequestLedger {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit RequestLedger(GatewaySoakReport& report)
        : m_report(report)
    {
    }

    /// Notes a request that a caller is about to send.
    /// @param key Number of the key that it carries, or nothing on a public route.
    void recordSent(
        const std::string& id, RequestKind kind, bool isResumable, std::string body, std::optional<std::size_t> key);
    /// Notes that a caller got an answer that says the request has not run.
    void recordRefused(const std::string& id);
    /// Notes that a runner begins to work on a request.
    void recordRun(const HttpRequest& request);
    /// Notes that a runner's whole answer was written while its link was sound since the request came.
    void recordAnswered(const std::string& id);

    /// Key that callers use now, and its number.
    std::string key() const { return keyName(m_keys); }
    std::size_t keyNumber() const { return m_keys; }
    /// Key that was withdrawn last, or the one in use when there is none.
    std::size_t previousKeyNumber() const { return m_keys > 0 ? m_keys - 1 : 0; }
    static std::string keyName(std::size_t number) { return "soak-key-" + std::to_string(number); }
    /// Withdraws the key in use and takes a new one.
    void replaceKey();
    /// Notes that the store confirmed the withdrawal.
    void recordKeyWithdrawn(std::size_t number) { m_withdrawnAt[number] = std::chrono::steady_clock::now(); }

    bool wasAnswered(const std::string& id) const;
    Time sentAt(const std::string& id) const { return m_requests.at(id).sentAt; }

private:
    struct Entry {
        RequestKind kind = RequestKind::Safe;
        bool isResumable = false;
        std::string body;
        std::optional<std::size_t> key;
        Time sentAt;
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
