// What a request tells of its prompt: model engines keep parts of prompts in memory, and a part
// that is kept need not be read again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// One part of a prompt. Requests share parts; the last one is usually the request's own.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct Prompt
{
    std::string model;
    std::vector<PromptPart> parts;  ///< In their order in the prompt.
    std::uint32_t inputTokens = 0;  ///< The whole prompt.
    std::uint32_t outputTokens = 0; ///< The most that may be generated.
};

} // namespace berylridge
