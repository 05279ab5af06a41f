// Parses and validates the text of one chart file and collects every error with its line.
#pragma once

#include "berylridge/Chart/StateChart.h"

#include <json/json.h>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

class StateChartParser
{
public:
    StateChartParser(std::string file, std::string_view text);

    Expected<StateChart> read();

private:
    using Index = StateChart::Index;

    bool parse(Json::Value &root);
    void checkMembers(const Json::Value &root);
    std::vector<std::string> readNames(const Json::Value &root, const char *name);
    void readInitial(const Json::Value &root);
    void readFinal(const Json::Value &root);
    void readTransitions(const Json::Value &root, const char *list, bool hasTarget);
    void readTransition(const Json::Value &entry, bool hasTarget);
    void setNext(const Json::Value &entry, Index from, Index on, Index to);
    std::vector<Index> indices(const Json::Value &value, const std::vector<std::string> &names,
                               const char *kind);
    void checkReachability(const Json::Value &root);
    void checkOutgoingTransitions(const Json::Value &root);
    bool hasOutgoingTransition(std::size_t state) const;
    void addError(std::ptrdiff_t offset, const std::string &message);
    void addError(const Json::Value &at, const std::string &message);

    std::string m_file;
    std::string_view m_text;
    StateChart m_chart;
    std::string m_errors;
};

} // namespace berylridge
