#include "common/program.h"
#include "weightstore/weightstoreservice.h"

int main(int argc, char **argv)
{
    using namespace lycheelanding::standins;
    return common::runStandIn<weightstore::WeightStoreService>(argc, argv, "standin-weightstore");
}
