#pragma once

#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <string>

#include <sys/types.h>

namespace Pollenwind {

/// Runs pollenwind-gateway as a separate process and restarts it whenever it exits, as the platform does.
class GatewayProcess {
public:
    /// @param program Path of pollenwind-gateway.
    /// @param folder Folder for the settings and log files.
    /// @param address Loopback address of the VM.
    /// @param store Address at which the process reaches the store.
    GatewayProcess(std::string program, std::string folder, std::string name, std::string address, Endpoint store);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    /// Starts the process and restarts it after each exit, until stop().
    Task<> supervise();
    /// Sends a signal to the process if it is running.
    void signal(int number);
    /// Kills the process and prevents further restarts.
    void stop();

    Endpoint callers() const { return { m_address, callersPort }; }
    Endpoint ready() const { return { m_address, readyPort }; }
    const std::string& name() const { return m_name; }
    const std::string& logFile() const { return m_logFile; }
    /// Number of starts so far; identifies the current incarnation of the process.
    unsigned starts() const { return m_starts; }
    /// Name and number of the present start.
    std::string process() const { return m_name + "/" + std::to_string(m_starts); }
    /// Time of the last exit of the process, or of the last signal other than SIGTERM. Requests in progress at that
    /// time may be lost.
    std::chrono::steady_clock::time_point lastDisturbedAt() const { return m_lastDisturbedAt; }
    /// Time of the last signal other than SIGTERM.
    std::chrono::steady_clock::time_point lastSignalledAt() const { return m_lastSignalledAt; }
    /// Time of the last SIGKILL.
    std::chrono::steady_clock::time_point lastKilledAt() const { return m_lastKilledAt; }

private:
    static constexpr std::uint16_t callersPort = 8606;
    static constexpr std::uint16_t readyPort = 8605;

    void writeSettings(const Endpoint& store) const;
    bool start();

    std::string m_program;
    std::string m_name;
    std::string m_address;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = 0;
    unsigned m_starts = 0;
    bool m_isStopped = false;
    std::chrono::steady_clock::time_point m_lastDisturbedAt;
    std::chrono::steady_clock::time_point m_lastSignalledAt;
    std::chrono::steady_clock::time_point m_lastKilledAt;
};

} // namespace Pollenwind
