// Describes a request's prompt. Model engines cache parts of prompts in memory and need not process
// a cached part again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// Describes one part of a prompt. Requests share parts; the last part is usually unique to its
/// request.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct Prompt
{
    std::string model;
    std::vector<PromptPart> parts;  ///< In prompt order.
    std::uint32_t inputTokens = 0;  ///< Tokens of the whole prompt.
    std::uint32_t outputTokens = 0; ///< Maximum number of tokens to generate.
};

} // namespace berylridge
