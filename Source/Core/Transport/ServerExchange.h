#pragma once

#include "Transport/HttpServer.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Pollenwind::detail {

/// One request on a connection of HttpServer.
class ServerExchange final : public HttpExchange {
public:
    /// @param limits Must outlive the exchange; the write timeout applies from the next write on.
    /// @param isClosing Whether the server closes connections after their next response; may change until then.
    ServerExchange(boost::beast::tcp_stream& stream, HttpRequest request, const HttpServerLimits& limits,
        bool keepAlive, const bool& isClosing);

    const HttpRequest& request() const override { return m_request; }
    HttpRequest takeRequest() override { return std::move(m_request); }
    void setRequestId(std::string id) override { m_requestId = std::move(id); }
    std::string remoteAddress() const override;
    Task<Outcome<void>> answer(const HttpAnswer& answer) override;
    Task<Outcome<void>> beginStream(const HttpAnswer& head) override;
    Task<Outcome<void>> writeChunk(std::string_view chunk) override;
    Task<Outcome<void>> endStream() override;
    bool isDisconnected() override;
    void onDisconnect(std::function<void()> handler) override;
    void abort() override;

    bool isBegun() const { return m_isBegun; }
    bool isComplete() const { return m_isComplete; }
    /// Whether the connection may carry another request after this one.
    bool keepAlive() const { return m_keepAlive && m_stream.socket().is_open(); }
    void closeAfterAnswer() { m_keepAlive = false; }
    /// Idle time that the response promised.
    std::chrono::seconds promisedIdleTime() const { return m_promisedIdleTime; }
    /// The end of the connection, if the exchange ends without a complete response.
    ConnectionEnd end() const;

private:
    /// Decides whether the connection is kept, and tells the client for how long.
    template <typename Message> void fillHead(Message& message, const HttpAnswer& answer);
    Error writeError(std::string_view what, const boost::beast::error_code& ec);

    boost::beast::tcp_stream& m_stream;
    HttpRequest m_request;
    const HttpServerLimits& m_limits;
    bool m_keepAlive;
    const bool& m_isClosing;
    std::chrono::seconds m_promisedIdleTime { 0 };
    bool m_isBegun = false;
    bool m_isComplete = false;
    bool m_isClosedByClient = false;
    std::string m_requestId;
    /// Text of the last error of a write.
    std::string m_fault;
    /// The pending wait has only a weak pointer to it, so that it has no effect after the exchange has ended.
    std::shared_ptr<std::function<void()>> m_disconnectHandler;
};

} // namespace Pollenwind::detail
