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
    /// Time at which a router had accepted its withdrawal.
    std::optional<std::chrono::steady_clock::time_point> withdrawnAt;
};

/// Creates and withdraws the caller keys of a soak run.
class SoakKeys {
public:
    explicit SoakKeys(const SoakOptions& options);

    /// Creates a key for an organisation through the first router that accepts it.
    /// @return False when no router accepted it.
    Task<bool> give(std::string organisation);
    /// Withdraws a key after it has created a new one for the same organisation.
    /// @param index Index into keys().
    Task<> rotate(std::size_t index);

    const std::vector<SoakKey>& keys() const { return m_keys; }

private:
    Task<bool> command(std::string key, std::string organisation, std::string state);

    const SoakOptions& m_options;
    std::vector<SoakKey> m_keys;
};

} // namespace Pollenwind
