#pragma once

#include <string>

#include "Model/Lists.h"
#include "Model/Result.h"
#include "State/Commands.h"

namespace dandelionloom {

/// Why a list is invalid by itself or inconsistent with the other list. The message states the
/// entry and the expected and actual values.
struct ListError
{
    std::string message;
};

/// Returns the lists after a change, with the next revision. Rejects duplicate ids, values out of
/// range, and allowances without a plan, whichever of the two lists is changed.
Result<Lists, ListError> applyListChange(const Lists &current, const ApplyList &change);

} // namespace dandelionloom
