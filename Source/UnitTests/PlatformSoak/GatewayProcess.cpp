#include "PlatformSoak/GatewayProcess.h"

#include "Common/JsonFields.h"
#include "Common/Sleep.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds exitPollInterval { 20 };
    constexpr std::chrono::milliseconds restartDelay { 300 };

} // namespace

GatewayProcess::GatewayProcess(
    std::string program, std::string folder, std::string name, std::string address, Endpoint store)
    : m_program(std::move(program))
    , m_name(std::move(name))
    , m_address(std::move(address))
    , m_settingsFile(folder + "/" + m_name + ".json")
    , m_logFile(folder + "/" + m_name + ".log")
{
    writeSettings(store);
}

GatewayProcess::~GatewayProcess() { stop(); }

void GatewayProcess::writeSettings(const Endpoint& store) const
{
    const JsonFields::Json settings { { "node", m_name }, { "zone", "a" },
        { "listen", { { "front", callers().toString() }, { "ready", ready().toString() } } },
        { "port_range", { 7600, 7615 } }, { "provider", { { "address", store.toString() } } },
        { "bounds",
            { { "revoke_ms", 5000 }, { "version_ms", 8000 }, { "lease_ms", 3000 }, { "grace_s", 8 },
                { "retry_ratio", 0.2 }, { "retry_slack", 58 }, { "retry_window_s", 10 }, { "config_apply_ms", 2000 },
                { "drain_ms", 2000 }, { "evacuate_ms", 5000 } } } };
    std::ofstream(m_settingsFile) << settings.dump();
}

bool GatewayProcess::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A connection of a stand-in that the gateway inherited would stay open after the stand-in has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = m_program;
    std::string option = "--settings";
    std::string file = m_settingsFile;
    char* arguments[] = { program.data(), option.data(), file.data(), nullptr };
    const int failure = posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    m_pid = failure == 0 ? m_pid : 0;
    ++m_starts;
    return failure == 0;
}

Task<> GatewayProcess::supervise()
{
    while (!m_isStopped) {
        if (!start()) {
            co_return;
        }
        int status = 0;
        while (m_pid != 0 && waitpid(m_pid, &status, WNOHANG) == 0) {
            co_await sleepFor(exitPollInterval);
        }
        m_pid = 0;
        m_lastDisturbedAt = std::chrono::steady_clock::now();
        co_await sleepFor(restartDelay);
    }
}

void GatewayProcess::signal(int number)
{
    if (m_pid != 0) {
        kill(m_pid, number);
        if (number != SIGTERM) {
            m_lastSignalledAt = std::chrono::steady_clock::now();
            m_lastDisturbedAt = m_lastSignalledAt;
        }
        if (number == SIGKILL) {
            m_lastKilledAt = m_lastSignalledAt;
        }
    }
}

void GatewayProcess::stop()
{
    m_isStopped = true;
    if (m_pid != 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

} // namespace Pollenwind
