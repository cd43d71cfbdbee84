#pragma once

#include <map>
#include <string>
#include <vector>

#include "Model/Lists.h"

namespace dandelionloom {

/// The fields of a list entry as pairs of name and text.
using EntryFields = std::vector<std::pair<std::string, std::string>>;

/// Entries of a list by id.
using ListEntries = std::map<std::string, EntryFields>;

EntryFields fieldsOf(const Plan &plan);
EntryFields fieldsOf(const Allowance &allowance);

struct FieldChange
{
    std::string field;
    std::string from;
    std::string to;
};

struct ListDiff
{
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::map<std::string, std::vector<FieldChange>> changed;

    bool empty() const { return added.empty() && removed.empty() && changed.empty(); }
};

/// The changes that turn `from` into `to`.
ListDiff listDiff(const ListEntries &from, const ListEntries &to);

} // namespace dandelionloom
