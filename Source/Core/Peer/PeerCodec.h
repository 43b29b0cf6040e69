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

/// Encodes a message with its length.
std::string encodeFrame(const PeerMessage& message);

/// Reads the length of a frame.
/// @param header The first headerBytes bytes.
/// @return Bytes that follow; nothing when the length is 0 or above the limit.
std::optional<std::size_t> decodeLength(std::span<const std::uint8_t> header);

/// Verifies and decodes the bytes after the length.
/// @param body The bytes, aligned to 8 as heap memory is.
/// @return The message; UnknownMessage for a kind of a later release; an error for damaged bytes.
Outcome<PeerMessage> decodeBody(std::span<const std::uint8_t> body);

/// Decodes a whole frame, length included. Entry point for fuzzing.
/// @return False when the frame is damaged.
bool decodeFrame(std::span<const std::uint8_t> frame);

} // namespace Pollenwind::PeerCodec
