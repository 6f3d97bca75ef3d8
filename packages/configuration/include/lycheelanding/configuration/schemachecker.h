#pragma once

#include "lycheelanding/core/result.h"

#include <memory>
#include <string_view>

namespace lycheelanding::configuration {

/// Validates JSON texts against a JSON schema (draft 7).
class SchemaChecker
{
public:
    /// `schemaText` is a constant of the program: throws std::logic_error if it is not JSON.
    explicit SchemaChecker(std::string_view schemaText);
    ~SchemaChecker();
    SchemaChecker(SchemaChecker &&) noexcept;
    SchemaChecker &operator=(SchemaChecker &&) noexcept;

    /// Fails with `kind` and a single line "<JSON pointer>: <reason>"; the pointer of the whole document is "/".
    core::Status check(std::string_view documentText, core::ErrorKind kind = core::ErrorKind::InvalidSettings) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace lycheelanding::configuration
