#include "Transport/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace Pollenwind {

namespace {

    void setOption(int handle, int level, int name, int value)
    {
        // A failure leaves the kernel's default, which only makes detection slower.
        setsockopt(handle, level, name, &value, sizeof value);
    }

} // namespace

void setLowLatencyOptions(int handle, std::chrono::milliseconds timeout)
{
    const int seconds = std::max(1, static_cast<int>(timeout.count() / 1000));
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, std::max(1, seconds / 3));
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, 3);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

bool isClosedByPeer(int handle)
{
    char byte = 0;
    const auto n = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool isOpenAndDrained(int handle)
{
    char byte = 0;
    const auto n = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

} // namespace Pollenwind
