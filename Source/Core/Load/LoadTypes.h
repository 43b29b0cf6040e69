#pragma once

#include "Common/EnumTable.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Pollenwind {

/// What a load target speaks.
enum class LoadProtocol {
    /// A router's caller front end.
    Router,
    /// An engine, as routers call it.
    Engine,
};

template <> struct EnumTable<LoadProtocol> {
    static constexpr std::array rows {
        EnumName { LoadProtocol::Router, "router" },
        EnumName { LoadProtocol::Engine, "engine" },
    };
};

/// One stream of requests of a load run.
struct LoadTargetOptions {
    std::string name;
    LoadProtocol protocol = LoadProtocol::Router;
    Endpoint endpoint;
    std::string model;
    std::string version;
    /// Caller's key; used by the router protocol only.
    std::string key;
};

/// Shape of a load run.
struct LoadOptions {
    /// Requests a second at each target, evenly spaced, sent whether or not earlier ones have ended.
    double rate = 50;
    std::chrono::seconds duration { 10 };
    std::uint32_t promptTokens = 256;
    std::uint32_t maxTokens = 16;
    /// Different prompts; each is used in turn.
    std::uint32_t distinctPrompts = 64;
    std::chrono::seconds timeout { 30 };
};

/// One finished request of a load run.
struct LoadSample {
    bool isComplete = false;
    std::chrono::nanoseconds firstToken { 0 };
    std::chrono::nanoseconds total { 0 };
};

} // namespace Pollenwind
