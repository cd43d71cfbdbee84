#pragma once

#include <string>

#include "Model/Lists.h"
#include "Model/Result.h"
#include "State/Commands.h"

namespace dandelionloom {

/// Why a list is not valid together with the other one. Names the entry, what was expected and
/// what was found.
struct ListFault
{
    std::string message;
};

/// The lists after a change, with the next revision. Refuses duplicate ids, values out of range,
/// and an allowance whose plan does not exist on either side of the change.
Result<Lists, ListFault> listsWith(const Lists &current, const ApplyList &change);

} // namespace dandelionloom
