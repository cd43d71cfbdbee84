#include <iostream>

int main()
{
    std::cout << "dandelionloom " << DANDELIONLOOM_VERSION << "\n";
    return 0;
}
