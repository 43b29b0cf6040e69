#pragma once

#include "Common/Error.h"
#include "Dispatch/RequestTypes.h"
#include "Transport/HttpTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

/// Encoding of the OpenAI-compatible bodies of the caller front end.
namespace Pollenwind::CallerCodec {

/// Form of a completion call.
enum class CompletionForm {
    Chat,
    Text,
};

/// A parsed completion call.
struct CompletionBody {
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isStream = false;
    int priority = 0;
};

/// Parses a request body.
/// @return The call, or a Malformed error that names the invalid field.
Outcome<CompletionBody> decodeCompletion(std::string_view body, CompletionForm form);

/// Encodes one token as a server-sent event.
std::string encodeTokenEvent(
    const RequestId& request, std::string_view model, const TokenChunk& chunk, CompletionForm form);

/// Encodes the last events of a complete stream, including "[DONE]".
std::string encodeEndEvents(
    const RequestId& request, std::string_view model, const CompletionSummary& summary, CompletionForm form);

/// Encodes the server-sent event that ends an incomplete stream.
std::string encodeErrorEvent(const RequestId& request, const Error& error);

/// Encodes the body of a response that is not streamed.
std::string encodeFullResponse(const RequestId& request, std::string_view model, std::string_view text,
    const CompletionSummary& summary, CompletionForm form);

/// Encodes an error as a response with its status, body and headers.
/// @param request Request id to include in the body; omitted if empty.
HttpAnswer encodeError(const Error& error, std::string_view request = {});

} // namespace Pollenwind::CallerCodec
