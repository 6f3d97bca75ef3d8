#include "lycheelanding/control/controltool.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto result = lycheelanding::control::runTool(arguments);
    std::cout << result.output << std::flush;
    std::cerr << result.message << std::flush;
    return static_cast<int>(result.code);
}
