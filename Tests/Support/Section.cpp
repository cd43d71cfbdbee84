#include "Support/Section.h"

#include <cppunit/Exception.h>
#include <cppunit/Message.h>

#include <stdexcept>

namespace dandelionloom::test {

void section(const std::string &name, const std::function<void()> &body)
{
    try {
        body();
    } catch (const CppUnit::Exception &exception) {
        CppUnit::Message message = exception.message();
        message.addDetail("in section: " + name);
        throw CppUnit::Exception(message, exception.sourceLine());
    } catch (const std::exception &exception) {
        throw std::runtime_error("in section: " + name + ": " + exception.what());
    }
}

} // namespace dandelionloom::test
