#pragma once

#include <string>
#include <utility>
#include <variant>

namespace dandelionloom {

/// Either the value of a successful operation or the error of the layer that failed.
template <typename T, typename E>
using Result = std::variant<T, E>;

/// Success value of an operation that returns nothing else.
struct Done
{
    bool operator==(const Done &) const = default;
};

template <typename T, typename E>
bool isOk(const Result<T, E> &result)
{
    return result.index() == 0;
}

/// The value of a successful result. Throws std::bad_variant_access on an error.
template <typename T, typename E>
const T &valueOf(const Result<T, E> &result)
{
    return std::get<0>(result);
}

template <typename T, typename E>
T takeValue(Result<T, E> &&result)
{
    return std::get<0>(std::move(result));
}

/// The error of a failed result. Throws std::bad_variant_access on a value.
template <typename T, typename E>
const E &errorOf(const Result<T, E> &result)
{
    return std::get<1>(result);
}

} // namespace dandelionloom
