#include "Peer/PeerCodec.h"

#include <cstddef>
#include <cstdint>
#include <span>

/// Entry point that libFuzzer calls with each input: the frame decoder must not crash on any bytes from a peer.
extern "C" int LLVMFuzzerTestOneInput(
    const std::uint8_t* data, std::size_t size) // NOLINT(readability-identifier-naming)
{
    Pollenwind::PeerCodec::decodeFrame(std::span(data, size));
    return 0;
}
