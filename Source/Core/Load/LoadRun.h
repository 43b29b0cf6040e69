#pragma once

#include "Common/Task.h"
#include "Load/Commands/LoadTarget.h"
#include "Load/LoadTypes.h"
#include "Transport/HttpClient.h"

#include <memory>
#include <vector>

namespace Pollenwind {

/// Sends requests at a constant rate to several targets alternately, so that noise of the machine affects all alike.
class LoadRun {
public:
    LoadRun(asio::any_io_executor executor, LoadOptions options, std::vector<LoadTargetOptions> targets);
    ~LoadRun();

    /// Sends all requests and waits until they have finished.
    Task<> run();

    /// Samples of each target, in the order of the targets.
    const std::vector<std::vector<LoadSample>>& samples() const { return m_samples; }

private:
    struct Target;

    Task<> send(std::size_t target, std::uint64_t number);
    Task<LoadSample> exchange(HttpConnection& connection, HttpRequest request);

    asio::any_io_executor m_executor;
    LoadOptions m_options;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::vector<LoadSample>> m_samples;
    std::vector<std::string> m_prompts;
    std::size_t m_running = 0;
};

} // namespace Pollenwind
