// Prints how message sizes and processing times grow with the size of a deployment.

#include "scaling.h"

#include <iomanip>
#include <iostream>

int main()
{
    using namespace lycheelanding::bench::capacity;
    for (const auto &rows : {measureMessages(), measureSelector(), measureDocuments()}) {
        for (const auto &row : rows) {
            std::cout << std::left << std::setw(44) << row.quantity << std::right << std::setw(8) << row.size
                      << std::setw(14) << std::fixed << std::setprecision(2) << row.value << " " << row.unit << "\n";
        }
    }
}
