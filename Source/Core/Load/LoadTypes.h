#pragma once

#include "Common/EnumTable.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Pollenwind {

/// Protocol of a load target.
enum class LoadProtocol {
    /// The protocol between callers and routers.
    Router,
    /// The protocol between routers and engines.
    Engine,
};

template <> struct EnumTable<LoadProtocol> {
    static constexpr std::array rows {
        EnumName { LoadProtocol::Router, "router" },
        EnumName { LoadProtocol::Engine, "engine" },
    };
};

/// Target of a load run.
struct LoadTargetOptions {
    std::string name;
    LoadProtocol protocol = LoadProtocol::Router;
    Endpoint endpoint;
    std::string model;
    std::string version;
    /// Caller key; used by the router protocol only.
    std::string key;
};

/// Parameters of a load run.
struct LoadOptions {
    /// Requests per second to each target, sent at even intervals regardless of whether earlier ones have finished.
    double rate = 50;
    std::chrono::seconds duration { 10 };
    std::uint32_t promptTokens = 256;
    std::uint32_t maxTokens = 16;
    /// Number of distinct prompts, used in rotation.
    std::uint32_t distinctPrompts = 64;
    std::chrono::seconds timeout { 30 };
};

/// Measurement of one finished request. The times are valid only if the response is complete.
struct LoadSample {
    bool isComplete = false;
    std::chrono::nanoseconds firstToken { 0 };
    std::chrono::nanoseconds total { 0 };
};

} // namespace Pollenwind
