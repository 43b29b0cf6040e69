#include "Transport/HttpClient.h"
#include "Transport/ServerFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <string>
#include <vector>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Takes all descriptors that this process may still open.
class DescriptorShortage {
public:
    DescriptorShortage()
    {
        rlimit limit {};
        cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_cur, maxDescriptors);
        cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
        for (int fd = open("/dev/null", O_RDONLY); fd >= 0; fd = open("/dev/null", O_RDONLY)) {
            m_taken.push_back(fd);
        }
        cr_assert_eq(errno, EMFILE);
    }
    DescriptorShortage(const DescriptorShortage&) = delete;
    DescriptorShortage& operator=(const DescriptorShortage&) = delete;
    ~DescriptorShortage()
    {
        for (const int fd : m_taken) {
            close(fd);
        }
    }

private:
    static constexpr rlim_t maxDescriptors = 64;

    std::vector<int> m_taken;
};

Outcome<void> connectTo(asio::io_context& context, const Endpoint& endpoint, const std::string& localAddress = "")
{
    HttpConnection connection(context.get_executor());
    connection.setLocalAddress(localAddress);
    std::optional<Outcome<void>> result;
    asio::co_spawn(context, connection.connect(endpoint, 5s),
        [&](const std::exception_ptr&, Outcome<void> outcome) { result = std::move(outcome); });
    context.restart();
    while (!result) {
        context.run_one();
    }
    return *result;
}

} // namespace

// Guards against taking a connect that fails for lack of a descriptor of this process for a failure of the server: it
// opened the breakers of sound runners.
Test(HttpClient, tellsAShortageOfDescriptorsFromAServerThatCannotBeReached)
{
    ServerFixture fixture;
    asio::io_context context { 1 };
    cr_assert(connectTo(context, fixture.endpoint).has_value());
    // Also before the shortage: the sanitizer opens a pipe when it checks a type for the first time.
    const Endpoint unused { "127.0.0.1", 1 };
    const auto unreachable = connectTo(context, unused);
    cr_assert(!unreachable && unreachable.error().code == ErrorCode::ConnectFailed);
    for (const auto* localAddress : { "", "127.0.0.1" }) {
        const DescriptorShortage shortage;
        const auto failed = connectTo(context, fixture.endpoint, localAddress);
        cr_assert(!failed);
        cr_assert_eq(failed.error().code, ErrorCode::Overloaded, "%s", failed.error().message.c_str());
        cr_assert_eq(failed.error().runState, RunState::NotRun);
    }
    fixture.server.stopAccepting();
    fixture.poll();
    const auto refused = connectTo(context, fixture.endpoint);
    cr_assert(!refused);
    cr_assert_eq(refused.error().code, ErrorCode::ConnectFailed);
}
