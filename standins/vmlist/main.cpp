#include "common/program.h"
#include "vmlist/vmlistservice.h"

int main(int argc, char **argv)
{
    using namespace lycheelanding::standins;
    return common::runStandIn<vmlist::VmListService>(argc, argv, "standin-vmlist");
}
