#pragma once

#include <string>
#include <string_view>

namespace lycheelanding::bench {

/// The keys of a JSON schema as Markdown: a table of the scalar keys and a section for each object and list.
std::string schemaSections(std::string_view schemaText);

} // namespace lycheelanding::bench
