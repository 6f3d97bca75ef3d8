#include "lycheelanding/configuration/schemachecker.h"

#include "private/jsontext.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <stdexcept>
#include <string>
#include <vector>

namespace lycheelanding::configuration {

namespace {

using valijson::adapters::NlohmannJsonAdapter;

/// "[groups]" -> "groups": the validator puts each element of a path into brackets.
std::string keyOfContextElement(const std::string &contextElement)
{
    const bool isBracketed
        = contextElement.size() >= 2 && contextElement.front() == '[' && contextElement.back() == ']';
    return isBracketed ? contextElement.substr(1, contextElement.size() - 2) : contextElement;
}

std::string pointerOf(const std::vector<std::string> &context)
{
    nlohmann::json::json_pointer pointer;
    // The first element is the document itself.
    for (std::size_t index = 1; index < context.size(); ++index) {
        pointer.push_back(keyOfContextElement(context[index]));
    }
    return pointer.to_string();
}

/// The validator reports an error again for each enclosing object; the deepest error is the most specific.
const valijson::ValidationResults::Error *deepestError(const valijson::ValidationResults &results)
{
    const valijson::ValidationResults::Error *deepest = nullptr;
    for (const auto &error : results) {
        if (deepest == nullptr || error.context.size() > deepest->context.size()) {
            deepest = &error;
        }
    }
    return deepest;
}

} // namespace

class SchemaChecker::Private
{
public:
    valijson::Schema schema;
};

SchemaChecker::SchemaChecker(std::string_view schemaText) : m_d(std::make_unique<Private>())
{
    const auto schemaJson = nlohmann::json::parse(schemaText, nullptr, false);
    if (schemaJson.is_discarded()) {
        throw std::logic_error("the schema is not JSON");
    }
    valijson::SchemaParser(valijson::SchemaParser::kDraft7)
        .populateSchema(NlohmannJsonAdapter(schemaJson), m_d->schema);
}

SchemaChecker::~SchemaChecker() = default;
SchemaChecker::SchemaChecker(SchemaChecker &&) noexcept = default;
SchemaChecker &SchemaChecker::operator=(SchemaChecker &&) noexcept = default;

core::Status SchemaChecker::check(std::string_view documentText, core::ErrorKind kind) const
{
    const auto parsed = parseJson(documentText, kind);
    if (!core::isOk(parsed)) {
        return core::errorOf(parsed);
    }
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(m_d->schema, NlohmannJsonAdapter(core::valueOf(parsed)), &results)) {
        return core::Done{};
    }
    const auto *error = deepestError(results);
    if (error == nullptr) {
        return errorAtPointer(kind, "", "does not match the schema");
    }
    return errorAtPointer(kind, pointerOf(error->context), error->description);
}

} // namespace lycheelanding::configuration
