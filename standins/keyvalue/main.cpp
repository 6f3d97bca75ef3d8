#include "common/program.h"
#include "keyvalue/keyvalueservice.h"

int main(int argc, char **argv)
{
    using namespace lycheelanding::standins;
    return common::runStandIn<keyvalue::KeyValueService>(argc, argv, "standin-keyvalue");
}
