// Reads the text of one chart file and collects every error with its line.
#pragma once

#include "berylridge/Chart/Chart.h"

#include <json/json.h>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

class ChartReader
{
public:
    ChartReader(std::string file, std::string_view text);

    Expected<Chart> read();

private:
    using Index = Chart::Index;

    bool parse(Json::Value &root);
    void checkNames(const Json::Value &root);
    std::vector<std::string> readNames(const Json::Value &root, const char *name);
    void readInitial(const Json::Value &root);
    void readFinal(const Json::Value &root);
    void readPairs(const Json::Value &root, const char *list, bool hasTarget);
    void readPair(const Json::Value &entry, bool hasTarget);
    void setNext(const Json::Value &entry, Index from, Index on, Index to);
    std::vector<Index> indices(const Json::Value &value, const std::vector<std::string> &names,
                               const char *kind);
    void checkReach(const Json::Value &root);
    void checkWaysOut(const Json::Value &root);
    bool hasWayOut(std::size_t state) const;
    void fail(std::ptrdiff_t offset, const std::string &message);
    void fail(const Json::Value &at, const std::string &message);

    std::string m_file;
    std::string_view m_text;
    Chart m_chart;
    std::string m_errors;
};

} // namespace berylridge
