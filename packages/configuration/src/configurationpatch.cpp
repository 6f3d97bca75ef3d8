#include "lycheelanding/configuration/configurationpatch.h"

#include "lycheelanding/configuration/configurationdocument.h"
#include "private/jsontext.h"

#include <fmt/format.h>

namespace lycheelanding::configuration {

namespace {

constexpr auto errorKind = core::ErrorKind::InvalidPatch;

/// Whether the parent of the operation's path exists but is neither an object nor an array.
bool hasScalarParent(const nlohmann::json &document, const nlohmann::json &operation)
{
    if (!operation.is_object() || !operation.contains("path") || !operation["path"].is_string()) {
        return false;
    }
    const nlohmann::json::json_pointer path(operation["path"].get<std::string>());
    if (path.empty() || !document.contains(path.parent_pointer())) {
        return false;
    }
    return !document.at(path.parent_pointer()).is_structured();
}

/// Splits a move into the equivalent removal and addition; returns any other operation unchanged.
nlohmann::json expandMove(const nlohmann::json &document, const nlohmann::json &operation)
{
    const bool isMove = operation.is_object() && operation.value("op", nlohmann::json()) == "move";
    if (!isMove) {
        return nlohmann::json::array({operation});
    }
    const auto from = operation.at("from").get<std::string>();
    const auto value = document.at(nlohmann::json::json_pointer(from));
    return {{{"op", "remove"}, {"path", from}}, {{"op", "add"}, {"path", operation.at("path")}, {"value", value}}};
}

/// The JSON library aborts the process when it adds a value below a scalar, and ignores a removal there. The removal of
/// a move can change the parent of its addition to a scalar, so both are checked separately.
core::Result<nlohmann::json> applyOperations(nlohmann::json document, const nlohmann::json &patch)
{
    for (std::size_t index = 0; index < patch.size(); ++index) {
        const auto pointer = fmt::format("/{}", index);
        try {
            for (const auto &operation : expandMove(document, patch[index])) {
                if (hasScalarParent(document, operation)) {
                    return errorAtPointer(errorKind, pointer,
                                          "patch operation: the parent is neither an object nor an array");
                }
                document.patch_inplace(nlohmann::json::array({operation}));
            }
        } catch (const nlohmann::json::exception &exception) {
            return errorAtPointer(errorKind, pointer, "patch operation: " + messageWithoutTag(exception.what()));
        }
    }
    return document;
}

bool isEmptyDocument(std::string_view text)
{
    return text == emptyDocumentText();
}

} // namespace

core::Result<std::string> applyPatch(std::string_view documentText, std::string_view patchText)
{
    const auto document = parseJson(documentText, errorKind);
    if (!core::isOk(document)) {
        return core::errorOf(document);
    }
    const auto patch = parseJson(patchText, errorKind);
    if (!core::isOk(patch)) {
        return core::errorOf(patch);
    }
    if (!core::valueOf(patch).is_array()) {
        return errorAtPointer(errorKind, "", "a patch is an array of operations");
    }
    const auto patched = applyOperations(core::valueOf(document), core::valueOf(patch));
    if (!core::isOk(patched)) {
        return core::errorOf(patched);
    }
    auto newText = core::valueOf(patched).dump();
    const auto newDocument = parseDocument(newText);
    if (!core::isOk(newDocument)) {
        return core::errorOf(newDocument);
    }
    const auto oldDocument = parseDocument(documentText);
    const bool arePartitionsFixed = core::isOk(oldDocument) && !isEmptyDocument(documentText);
    if (arePartitionsFixed
        && core::valueOf(oldDocument).idempotency.partitions != core::valueOf(newDocument).idempotency.partitions) {
        return errorAtPointer(errorKind, "/idempotency/partitions",
                              "cannot be changed once a version has been accepted");
    }
    return newText;
}

} // namespace lycheelanding::configuration
