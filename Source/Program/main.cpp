#include <iostream>

#include "Program/Program.h"

int main(int argumentCount, char **arguments)
{
    return dandelionloom::runProgram({arguments + 1, arguments + argumentCount}, std::cout,
                                     std::cerr);
}
