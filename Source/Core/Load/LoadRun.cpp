#include "Load/LoadRun.h"

#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Placement/PrefixChain.h"

namespace Pollenwind {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    constexpr std::string_view streamEndMarker = "data: [DONE]";

} // namespace

struct LoadRun::Target {
    LoadTargetOptions options;
    std::unique_ptr<LoadTarget> requestBuilder;
    std::vector<std::unique_ptr<HttpConnection>> idle;
};

LoadRun::LoadRun(asio::any_io_executor executor, LoadOptions options, std::vector<LoadTargetOptions> targets)
    : m_executor(std::move(executor))
    , m_options(options)
{
    for (auto& it : targets) {
        auto target = std::make_unique<Target>();
        target->requestBuilder = makeLoadTarget(it, options.maxTokens);
        target->options = std::move(it);
        m_targets.push_back(std::move(target));
        m_samples.emplace_back();
    }
    for (std::uint32_t i = 0; i < options.distinctPrompts; ++i) {
        std::string prompt = "prompt " + std::to_string(i) + " ";
        while (prompt.size() < static_cast<std::size_t>(options.promptTokens) * bytesPerToken) {
            prompt += "word" + std::to_string(prompt.size() % 97) + " ";
        }
        m_prompts.push_back(std::move(prompt));
    }
}

LoadRun::~LoadRun() = default;

Task<> LoadRun::run()
{
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(1 / m_options.rate / static_cast<double>(m_targets.size())));
    const auto start = SteadyClock::now();
    const auto end = start + m_options.duration;
    std::uint64_t number = 0;
    for (auto next = start; next < end; next += interval, ++number) {
        co_await sleepFor(next - SteadyClock::now());
        spawnTask(m_executor, TaskKind::Load, send(number % m_targets.size(), number));
    }
    while (m_running > 0) {
        co_await sleepFor(std::chrono::milliseconds(10));
    }
}

Task<> LoadRun::send(std::size_t index, std::uint64_t number)
{
    ++m_running;
    auto& target = *m_targets[index];
    std::unique_ptr<HttpConnection> connection;
    while (!target.idle.empty() && !connection) {
        connection = std::move(target.idle.back());
        target.idle.pop_back();
        if (!connection->isReusable()) {
            connection.reset();
        }
    }
    LoadSample sample;
    bool isConnected = connection != nullptr;
    if (!isConnected) {
        connection = std::make_unique<HttpConnection>(m_executor);
        isConnected = (co_await connection->connect(target.options.endpoint, m_options.timeout)).has_value();
    }
    if (isConnected) {
        const auto& prompt = m_prompts[number / m_targets.size() % m_prompts.size()];
        sample = co_await exchange(*connection, target.requestBuilder->makeRequest(number, prompt));
    }
    if (sample.isComplete && connection->isReusable()) {
        target.idle.push_back(std::move(connection));
    }
    m_samples[index].push_back(sample);
    --m_running;
}

Task<LoadSample> LoadRun::exchange(HttpConnection& connection, HttpRequest request)
{
    LoadSample sample;
    const auto start = SteadyClock::now();
    const auto head = co_await connection.send(request, m_options.timeout);
    if (!head || head->status != 200) {
        co_return sample;
    }
    std::string received;
    for (;;) {
        const auto part = co_await connection.readSome(m_options.timeout);
        if (!part) {
            co_return sample;
        }
        if (part->empty()) {
            break;
        }
        if (received.empty()) {
            sample.firstToken = SteadyClock::now() - start;
        }
        received += *part;
    }
    sample.total = SteadyClock::now() - start;
    sample.isComplete = received.find(streamEndMarker) != std::string::npos;
    co_return sample;
}

} // namespace Pollenwind
