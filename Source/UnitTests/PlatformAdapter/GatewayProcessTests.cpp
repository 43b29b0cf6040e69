#include "PlatformSoak/GatewayProcess.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <poll.h>

using namespace Pollenwind;

namespace {

constexpr int closeTimeoutMs = 5000;

/// A program that runs until it is killed, whatever its arguments are.
std::string writeIdleProgram(const std::filesystem::path& folder)
{
    const auto program = folder / "idle";
    std::ofstream(program) << "#!/bin/sh\nexec sleep 60\n";
    std::filesystem::permissions(program, std::filesystem::perms::owner_all);
    return program;
}

} // namespace

// Guards against a soak whose gateways inherit its connections: a stand-in that crashes then ends only those that were
// opened after the last start of a gateway, and requests on the others wait until their deadline.
Test(GatewayProcess, inheritsNoConnections)
{
    using tcp = asio::ip::tcp;
    std::string name = std::filesystem::temp_directory_path() / "gateway-process-XXXXXX";
    const std::filesystem::path folder = mkdtemp(name.data());
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    auto server = acceptor.accept();
    GatewayProcess process(writeIdleProgram(folder), folder, "vm", "127.0.0.1", { "127.0.0.1", 1 });
    asio::co_spawn(context, process.supervise(), asio::detached);
    context.poll();
    cr_assert_eq(process.starts(), 1);
    server.close();
    pollfd waiting { client.native_handle(), POLLIN, 0 };
    cr_assert_eq(poll(&waiting, 1, closeTimeoutMs), 1, "the started process holds the connection open");
    process.stop();
    std::filesystem::remove_all(folder);
}
