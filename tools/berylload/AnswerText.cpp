#include "AnswerText.h"

#include "berylridge/Support/Hash.h"

#include <array>
#include <cstdio>

namespace berylridge {

namespace {

std::string hex(std::uint64_t number)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

} // namespace

std::string streamToken(std::string_view requestBody, std::uint64_t index)
{
    return hex(hash64(std::to_string(index), hash64(requestBody)));
}

std::string streamEvent(std::uint64_t index, std::string_view text)
{
    std::string event = "id: " + std::to_string(index) + "\ndata: ";
    event.append(text);
    event += "\n\n";
    return event;
}

std::string wholeStream(std::string_view requestBody, std::uint64_t tokens)
{
    std::string stream;
    for (std::uint64_t i = 1; i <= tokens; ++i)
        stream += streamEvent(i, streamToken(requestBody, i));
    return stream + streamEvent(tokens + 1, streamEnd);
}

std::string lookupAnswer(std::string_view path)
{
    return R"({"lookup":")" + hex(hash64(path)) + "\"}";
}

std::string purchaseAnswer(std::string_view requestBody)
{
    return R"({"receipt":")" + hex(hash64(requestBody)) + "\"}";
}

} // namespace berylridge
