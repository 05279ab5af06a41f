// Converts a vector to a JSON array.
#pragma once

#include <json/value.h>
#include <vector>

namespace berylridge {

template <typename T>
Json::Value toJsonArray(const std::vector<T> &elements, Json::Value (*toJson)(const T &))
{
    Json::Value list(Json::arrayValue);
    for (const auto &element : elements)
        list.append(toJson(element));
    return list;
}

} // namespace berylridge
