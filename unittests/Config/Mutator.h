// Mutates a valid text in the ways in which corrupt files and malicious senders differ from it. The
// mutations are determined by the seed.
#pragma once

#include "berylridge/Support/Random.h"

#include <array>
#include <string>
#include <string_view>

namespace berylridge {

class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::string mutate(std::string text)
    {
        const auto count = 1 + below(4);
        for (std::size_t i = 0; i < count; ++i)
            mutateOnce(text);
        return text;
    }

private:
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : m_engine() % limit; }

    void mutateOnce(std::string &text)
    {
        const auto at = below(text.size() + 1);
        const auto length = below(16);
        switch (below(6)) {
        case 0:
            text.erase(at, length);
            return;
        case 1:
            text.insert(at, text.substr(below(text.size()), length));
            return;
        case 2:
            text.insert(at, token());
            return;
        case 3:
            if (at < text.size())
                text[at] = static_cast<char>(below(256));
            return;
        case 4:
            text.replace(at, length, token());
            return;
        default:
            if (below(8) == 0)
                text.resize(at);
        }
    }

    std::string token()
    {
        using namespace std::string_view_literals;
        static constexpr auto tokens = std::to_array<std::string_view>({"\"",
                                                                        "{",
                                                                        "}",
                                                                        "[",
                                                                        "]",
                                                                        ",",
                                                                        ":",
                                                                        "null",
                                                                        "true",
                                                                        "-1",
                                                                        "0",
                                                                        "1e999",
                                                                        "1e-400",
                                                                        "0.5",
                                                                        "18446744073709551616",
                                                                        "99999999999999999999999",
                                                                        "\\u0000",
                                                                        "\\ud800",
                                                                        "\0"sv,
                                                                        "\x01",
                                                                        "\xff",
                                                                        "/*",
                                                                        "*/",
                                                                        "//",
                                                                        "\r",
                                                                        "\n",
                                                                        "NaN",
                                                                        "\"slots\": 1,",
                                                                        "\"a\": {},",
                                                                        "\"service\":",
                                                                        "\"\"",
                                                                        "\"127.0.0.1\"",
                                                                        "[[[[[[[[",
                                                                        "{\"a\":{\"a\":{\"a\":"});
        if (below(64) == 0)
            return std::string(2000, '[');
        return std::string(tokens[below(tokens.size())]);
    }

    RandomEngine m_engine;
};

} // namespace berylridge
