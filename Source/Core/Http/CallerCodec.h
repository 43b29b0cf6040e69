#pragma once

#include "Common/Error.h"
#include "Dispatch/RequestTypes.h"
#include "Transport/HttpTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

/// OpenAI-style bodies of the caller front end.
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

/// Parses a body.
/// @return The call, or a Malformed error that names the field at fault.
Outcome<CompletionBody> decodeCompletion(std::string_view body, CompletionForm form);

/// One server-sent event with a token.
std::string encodeTokenEvent(
    const RequestId& request, std::string_view model, const TokenChunk& chunk, CompletionForm form);

/// The last events of a whole stream, "[DONE]" included.
std::string encodeEndEvents(
    const RequestId& request, std::string_view model, const CompletionSummary& summary, CompletionForm form);

/// A server-sent event that says that the stream is not whole.
std::string encodeErrorEvent(const RequestId& request, const Error& error);

/// A whole answer.
std::string encodeFullResponse(const RequestId& request, std::string_view model, std::string_view text,
    const CompletionSummary& summary, CompletionForm form);

/// Error body and status for an error.
HttpAnswer encodeError(const Error& error, std::string_view request = {});

} // namespace Pollenwind::CallerCodec
