#pragma once

#include "Common/Task.h"
#include "Soak/SoakTypes.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Pollenwind {

/// One caller key of a soak run.
struct SoakKey {
    std::string key;
    std::string organisation;
    /// When its withdrawal had been accepted by a router.
    std::optional<std::chrono::steady_clock::time_point> withdrawnAt;
};

/// Gives and withdraws the keys of a soak run.
class SoakKeys {
public:
    explicit SoakKeys(const SoakOptions& options);

    /// Gives one key to an organisation, trying every router.
    Task<bool> give(std::string organisation);
    /// Withdraws a key, after giving its organisation a new one.
    /// @param index Index into keys().
    Task<> rotate(std::size_t index);

    const std::vector<SoakKey>& keys() const { return m_keys; }

private:
    Task<bool> command(std::string key, std::string organisation, std::string state);

    const SoakOptions& m_options;
    std::vector<SoakKey> m_keys;
};

} // namespace Pollenwind
