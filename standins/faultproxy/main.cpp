#include "common/program.h"
#include "faultproxy/faultproxyservice.h"

#include <cxxopts.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <string>

namespace {

using lycheelanding::standins::common::ProgramOptions;
using Json = lycheelanding::standins::common::Json;

constexpr int exitBadUsage = 2;

/// `--listen` and `--target` configure one proxy; `--settings` may list several.
ProgramOptions readOptions(int argc, char **argv)
{
    ProgramOptions options;
    cxxopts::Options parser("standin-faultproxy", "A TCP proxy that injects network faults");
    parser.add_options()("listen", "Port of the proxy; 0 takes an ephemeral one",
                         cxxopts::value<std::uint16_t>()->default_value("0"))(
        "target", "IP:PORT to connect to", cxxopts::value<std::string>()->default_value(""))(
        "control", "Port of the control interface", cxxopts::value<std::uint16_t>(options.port)->default_value("0"))(
        "port", "The same as --control", cxxopts::value<std::uint16_t>(options.port))(
        "settings", "JSON file", cxxopts::value<std::string>()->default_value(""));
    const auto result = parser.parse(argc, argv);
    const auto settings = result["settings"].as<std::string>();
    const auto target = result["target"].as<std::string>();
    if (!settings.empty()) {
        std::ifstream file(settings);
        options.settings = Json::parse(file);
    }
    if (!target.empty()) {
        options.settings["proxies"].push_back({{"listen", result["listen"].as<std::uint16_t>()}, {"target", target}});
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace lycheelanding;
    try {
        const ProgramOptions options = readOptions(argc, argv);
        asio::io_context context;
        standins::faultproxy::FaultProxyService service(context, options.settings);
        return standins::common::serve(
            context, options.port, [&service](const http::HttpExchangePointer &exchange) { service.handle(exchange); });
    } catch (const std::exception &failure) {
        std::cerr << "standin-faultproxy: " << failure.what() << '\n';
        return exitBadUsage;
    }
}
