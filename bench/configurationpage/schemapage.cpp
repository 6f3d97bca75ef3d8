#include "schemapage.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace lycheelanding::bench {

namespace {

/// Preserves the key order of the schema.
using Json = nlohmann::ordered_json;

/// The property merged with the definition that its `$ref` names.
Json resolved(const Json &property, const Json &schema)
{
    if (!property.contains("allOf")) {
        return property;
    }
    Json merged = property;
    const Json::json_pointer pointer(property["allOf"][0]["$ref"].get<std::string>().substr(1));
    for (const auto &[key, value] : schema.at(pointer).items()) {
        merged[key] = value;
    }
    return merged;
}

std::string rangeOf(const Json &property, const char *minimumKey, const char *maximumKey)
{
    const bool hasMinimum = property.contains(minimumKey);
    const bool hasMaximum = property.contains(maximumKey);
    if (hasMinimum && hasMaximum) {
        return fmt::format("{} to {}", property[minimumKey].dump(), property[maximumKey].dump());
    }
    if (hasMinimum) {
        return fmt::format("at least {}", property[minimumKey].dump());
    }
    return hasMaximum ? fmt::format("at most {}", property[maximumKey].dump()) : "";
}

std::string boundsOf(const Json &property)
{
    std::vector<std::string> bounds;
    const auto addBound = [&](const std::string &bound, std::string_view unit) {
        if (!bound.empty()) {
            bounds.push_back(fmt::format("{}{}", bound, unit));
        }
    };
    addBound(rangeOf(property, "minimum", "maximum"), "");
    addBound(rangeOf(property, "minLength", "maxLength"), " characters");
    addBound(rangeOf(property, "minItems", "maxItems"), " entries");
    if (property.contains("pattern")) {
        addBound(property["pattern"].get<std::string>(), "`");
        bounds.back().insert(0, "`");
    }
    if (property.contains("enum")) {
        std::string names;
        for (const auto &value : property["enum"]) {
            names += (names.empty() ? "" : ", ") + value.get<std::string>();
        }
        addBound("one of " + names, "");
    }
    return fmt::format("{}", fmt::join(bounds, ", "));
}

std::string defaultOf(const std::string &key, const Json &property, const Json &parent)
{
    if (property.contains("default")) {
        return "`" + property["default"].dump() + "`";
    }
    const auto required = parent.value("required", Json::array());
    return std::find(required.begin(), required.end(), key) != required.end() ? "required" : "none";
}

bool isNested(const Json &property)
{
    return property.contains("properties") || (property.contains("items") && property["items"].contains("properties"));
}

/// Appends a table of the object's scalar keys, then a section for each nested object or list below `path`.
void appendObject(std::string &text, const Json &object, const Json &schema, const std::string &path)
{
    std::string rows;
    std::string nested;
    for (const auto &[key, declared] : object.at("properties").items()) {
        const auto property = resolved(declared, schema);
        if (!isNested(property)) {
            rows
                += fmt::format("| `{}` | {} | {} | {} | {} |\n", key, property.value("type", ""),
                               defaultOf(key, property, object), boundsOf(property), property.value("description", ""));
            continue;
        }
        const bool isList = property.contains("items");
        const auto nestedPath = fmt::format("{}/{}{}", path, key, isList ? "/*" : "");
        const auto bounds = boundsOf(property);
        nested += fmt::format("\n### `{}`\n\n{}{}{}\n", nestedPath, property.value("description", ""),
                              bounds.empty() ? "" : fmt::format(" A list; {}.", bounds),
                              defaultOf(key, property, object) == "required" ? " Required." : "");
        appendObject(nested, isList ? property["items"] : property, schema, nestedPath);
    }
    if (!rows.empty()) {
        text += "\n| key | type | default | bounds | meaning |\n|---|---|---|---|---|\n" + rows;
    }
    text += nested;
}

} // namespace

std::string schemaSections(std::string_view schemaText)
{
    const auto schema = Json::parse(schemaText);
    std::string text;
    appendObject(text, schema, schema, "");
    return text;
}

} // namespace lycheelanding::bench
