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

std::string formatStreamEvent(std::uint64_t index, std::string_view text)
{
    std::string event = "id: " + std::to_string(index) + "\ndata: ";
    event.append(text);
    event += "\n\n";
    return event;
}

std::string completeStream(std::string_view requestBody, std::uint64_t tokens)
{
    std::string stream;
    for (std::uint64_t i = 1; i <= tokens; ++i)
        stream += formatStreamEvent(i, streamToken(requestBody, i));
    return stream + formatStreamEvent(tokens + 1, streamEndMarker);
}

std::string lookupResponse(std::string_view path)
{
    return R"({"lookup":")" + hex(hash64(path)) + "\"}";
}

std::string purchaseResponse(std::string_view requestBody)
{
    return R"({"receipt":")" + hex(hash64(requestBody)) + "\"}";
}

} // namespace berylridge
