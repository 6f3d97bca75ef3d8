#include "common/program.h"
#include "plain/plainservice.h"

int main(int argc, char **argv)
{
    using namespace lycheelanding::standins;
    return common::runStandIn<plain::PlainService>(argc, argv, "standin-plain");
}
