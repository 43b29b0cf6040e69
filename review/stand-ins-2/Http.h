#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// A small blocking HTTP/1.1 client and server for the stand-ins of a review.
namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Listens on an address; port 0 takes a free one, which is stored in the address.
/// @return The socket, or -1.
inline int listenOn(Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto local = toSocketAddress(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof local;
    getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
    address.port = ntohs(local.sin_port);
    return fd;
}

struct Message {
    std::string method;
    std::string path;
    std::string query;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }

    /// Value of a query parameter without percent-encoding other than that of slashes.
    std::string parameter(const std::string& name) const
    {
        for (std::size_t at = 0; at < query.size();) {
            const auto end = std::min(query.find('&', at), query.size());
            const auto item = query.substr(at, end - at);
            if (item.starts_with(name + "=")) {
                return decode(item.substr(name.size() + 1));
            }
            at = end + 1;
        }
        return {};
    }

    static std::string decode(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
};

/// One connection.
class Stream {
public:
    explicit Stream(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { close(m_fd); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    int fd() const { return m_fd; }

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto n = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Sends a response with a length.
    bool answer(int status, std::string_view body, const std::vector<std::pair<std::string, std::string>>& headers = {},
        std::string_view contentType = "application/json") const
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
        for (const auto& [name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Type: " + std::string(contentType) + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + std::string(body);
        return write(text);
    }

    bool writeChunk(std::string_view part) const
    {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        return write(size + std::string(part) + "\r\n");
    }

    /// Waits until the peer has closed the connection or the condition holds.
    void waitForClose(const std::function<bool()>& isOver) const
    {
        while (!isOver()) {
            pollfd it { m_fd, POLLRDHUP, 0 };
            if (poll(&it, 1, 20) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                return;
            }
        }
    }

    bool isClosedByPeer() const
    {
        pollfd it { m_fd, POLLRDHUP, 0 };
        return poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    bool readHead(Message& message, bool isRequest, Clock::time_point until = Clock::time_point::max())
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        const auto head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        auto lineEnd = head.find("\r\n");
        const auto first = head.substr(0, lineEnd);
        const auto space = first.find(' ');
        if (isRequest) {
            message.method = first.substr(0, space);
            auto target = first.substr(space + 1, first.rfind(' ') - space - 1);
            const auto mark = target.find('?');
            message.path = target.substr(0, mark);
            message.query = mark == std::string::npos ? "" : target.substr(mark + 1);
        } else {
            message.status = std::stoi(first.substr(space + 1));
        }
        for (auto at = lineEnd + 2; at < head.size(); at = lineEnd + 2) {
            lineEnd = head.find("\r\n", at);
            const auto line = head.substr(at, lineEnd - at);
            const auto colon = line.find(':');
            auto value = line.substr(std::min(colon + 1, line.size()));
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        return true;
    }

    /// Reads a body with a length or in chunks.
    /// @return False if it is not complete.
    bool readBody(Message& message, Clock::time_point until = Clock::time_point::max())
    {
        if (message.header("Transfer-Encoding") == "chunked") {
            for (;;) {
                std::string line;
                if (!readLine(line, until)) {
                    return false;
                }
                const auto size = std::stoul(line, nullptr, 16);
                std::string part;
                if (!readBytes(size + 2, part, until)) {
                    message.body += part;
                    return false;
                }
                message.body += part.substr(0, size);
                if (size == 0) {
                    return true;
                }
            }
        }
        const auto length = message.header("Content-Length");
        return length.empty() || readBytes(std::stoul(length), message.body, until);
    }

private:
    bool fill(Clock::time_point until)
    {
        const auto left = until == Clock::time_point::max()
            ? -1
            : static_cast<int>(std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count());
        pollfd it { m_fd, POLLIN, 0 };
        if ((until != Clock::time_point::max() && left <= 0) || poll(&it, 1, left) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto n = recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    bool readBytes(std::size_t count, std::string& result, Clock::time_point until)
    {
        while (m_buffer.size() < count) {
            if (!fill(until)) {
                result += std::exchange(m_buffer, {});
                return false;
            }
        }
        result += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readLine(std::string& line, Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

/// Serves each connection in a thread of its own.
class Server {
public:
    /// @return False if the connection ends.
    using Handler = std::function<bool(Stream&, const Message&)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
    }
    ~Server()
    {
        stop();
        while (m_threads > 0) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }

    bool listen(Address& address)
    {
        m_listener = listenOn(address);
        if (m_listener < 0) {
            return false;
        }
        m_accepting = std::thread([this, fd = m_listener] { accept(fd); });
        return true;
    }

    /// Closes the listener and all connections, as the end of a process does.
    void stop()
    {
        const int listener = std::exchange(m_listener, -1);
        if (listener < 0) {
            return;
        }
        shutdown(listener, SHUT_RDWR);
        m_accepting.join();
        close(listener);
        const std::scoped_lock lock(m_mutex);
        for (const int fd : m_connections) {
            shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept(int listener)
    {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            ++m_threads;
            {
                const std::scoped_lock lock(m_mutex);
                m_connections.insert(fd);
            }
            std::thread([this, fd] {
                serve(fd);
                --m_threads;
            }).detach();
        }
    }

    void serve(int fd)
    {
        Stream stream(fd);
        for (;;) {
            Message request;
            if (!stream.readHead(request, true) || !stream.readBody(request) || !m_handler(stream, request)) {
                break;
            }
        }
        const std::scoped_lock lock(m_mutex);
        m_connections.erase(fd);
    }

    Handler m_handler;
    int m_listener = -1;
    std::thread m_accepting;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<int> m_threads { 0 };
};

/// Connects to an address.
/// @return The connection, or nothing.
inline std::unique_ptr<Stream> connectTo(const Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto remote = toSocketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_unique<Stream>(fd);
}

} // namespace Review
