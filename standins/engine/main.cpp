#include "common/program.h"
#include "engine/engineservice.h"

int main(int argc, char **argv)
{
    using namespace lycheelanding::standins;
    return common::runStandIn<engine::EngineService>(argc, argv, "standin-engine");
}
