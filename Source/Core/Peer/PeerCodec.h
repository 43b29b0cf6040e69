#pragma once

#include "Common/Error.h"
#include "Peer/PeerTypes.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

/// Encoding of peer messages: a 4-byte big-endian length and a FlatBuffers table.
namespace Pollenwind::PeerCodec {

inline constexpr std::size_t headerBytes = 4;
inline constexpr std::size_t maxFrameBytes = 4UL * 1024 * 1024;

/// Encodes a message as a frame: the length and the body.
std::string encodeFrame(const PeerMessage& message);

/// Reads the length of a frame.
/// @param header The first headerBytes bytes of the frame.
/// @return Number of bytes that follow; nothing when it is 0 or above maxFrameBytes.
std::optional<std::size_t> decodeLength(std::span<const std::uint8_t> header);

/// Verifies and decodes the body of a frame.
/// @param body The bytes after the length, aligned to 8 bytes as heap memory is.
/// @return The message; UnknownMessage for a kind of a later release; Malformed for invalid bytes.
Outcome<PeerMessage> decodeBody(std::span<const std::uint8_t> body);

/// Decodes a complete frame, length included. Entry point for fuzzing.
/// @return False when the frame is invalid.
bool decodeFrame(std::span<const std::uint8_t> frame);

} // namespace Pollenwind::PeerCodec
