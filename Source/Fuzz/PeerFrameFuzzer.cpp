#include "Peer/PeerCodec.h"

#include <cstddef>
#include <cstdint>
#include <span>

/// libFuzzer entry point: no bytes from a peer may crash the frame decoder.
extern "C" int LLVMFuzzerTestOneInput(
    const std::uint8_t* data, std::size_t size) // NOLINT(readability-identifier-naming)
{
    Pollenwind::PeerCodec::decodeFrame(std::span(data, size));
    return 0;
}
