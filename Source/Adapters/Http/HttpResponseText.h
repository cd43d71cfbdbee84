#pragma once

#include <string>

#include "Model/HttpMessage.h"

namespace dandelionloom {

/// The bytes of a response in HTTP/1.1.
std::string renderResponse(const HttpResponse &response, bool keepAlive);

} // namespace dandelionloom
