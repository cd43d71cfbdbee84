#pragma once

#include <Poco/Net/StreamSocket.h>

#include "Model/Time.h"

namespace dandelionloom {

/// Waits until a socket is readable or its connection has ended. Returns false after the timeout.
bool waitForInput(const Poco::Net::StreamSocket &socket, SteadyTimeMs timeoutMs);

/// Discards input for up to 500 ms or 256 KiB, until the client closes the connection. Closing a
/// connection with unread input resets it, and the client could lose the response. Throws
/// Poco::Exception if the connection is lost.
void discardInput(Poco::Net::StreamSocket &socket);

} // namespace dandelionloom
