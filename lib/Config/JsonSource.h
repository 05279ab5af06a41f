// Parses one text of JSON with comments and collects its errors by line.
#pragma once

#include "berylridge/Config/DocumentReader.h"

#include <cstddef>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

class JsonSource
{
public:
    JsonSource(std::string_view file, std::string_view text);

    /// Returns the root if the text can be parsed and is an object. A name that occurs twice in an
    /// object is kept under a marked name (isRepeatedName()), so that all other checks still run.
    std::optional<Json::Value> parse();

    /// Returns whether parse() marked this name as a repetition of an earlier one in its object.
    static bool isRepeatedName(std::string_view name);
    /// Returns the name as it is written in the text, without the mark.
    static std::string_view originalName(std::string_view name);

    void report(const Json::Value &at, std::string name, std::string message);
    void report(int line, std::string name, std::string message);
    bool hasErrors() const { return !m_diagnostics.empty(); }

    int lineOf(const Json::Value &value) const;

    /// Returns all errors in ascending order of line.
    std::vector<Diagnostic> takeDiagnostics();

private:
    void reportSyntax(const std::string &parserErrors);
    bool markRepeatedName(const std::string &parserErrors);

    std::string m_file;
    std::string m_text;
    std::vector<std::size_t> m_lineStarts;
    std::vector<Diagnostic> m_diagnostics;
};

} // namespace berylridge
