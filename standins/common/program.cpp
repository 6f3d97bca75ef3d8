#include "common/program.h"

#include "common/httphelpers.h"

#include <asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

namespace lycheelanding::standins::common {

namespace {

constexpr int exitBadUsage = 2;
constexpr int threadCount = 2;
constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;

void handleCatchingExceptions(const http::HttpHandler &handler, const http::HttpExchangePointer &exchange)
{
    try {
        handler(exchange);
    } catch (const std::exception &failure) {
        respondJson(exchange, 400, {{"error", failure.what()}});
    }
}

} // namespace

std::optional<ProgramOptions> readOptions(int argc, char **argv, const std::string &name, int &exitCode)
{
    ProgramOptions options;
    try {
        cxxopts::Options parser(name, "A stand-in for tests and the demo");
        parser.add_options()("port", "Port to listen on; 0 takes an ephemeral one",
                             cxxopts::value<std::uint16_t>(options.port)->default_value("0"))(
            "settings", "JSON file", cxxopts::value<std::string>()->default_value(""))("help", "Show this text");
        const auto result = parser.parse(argc, argv);
        if (result.count("help") > 0) {
            std::cout << parser.help();
            exitCode = 0;
            return std::nullopt;
        }
        const auto settings = result["settings"].as<std::string>();
        if (!settings.empty()) {
            std::ifstream file(settings);
            options.settings = Json::parse(file);
        }
    } catch (const std::exception &failure) {
        std::cerr << name << ": " << failure.what() << '\n';
        exitCode = exitBadUsage;
        return std::nullopt;
    }
    return options;
}

int serve(asio::io_context &context, std::uint16_t port, http::HttpHandler handler)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code &, int) { context.stop(); });
    http::HttpServerSettings settings;
    settings.port = port;
    settings.maxBodyBytes = maxBodyBytes;
    http::HttpServer server(context, settings,
                            [handler = std::move(handler)](const http::HttpExchangePointer &exchange) {
                                handleCatchingExceptions(handler, exchange);
                            });
    const core::Status status = server.start();
    if (!core::isOk(status)) {
        std::cerr << core::errorOf(status).detail << '\n';
        return exitBadUsage;
    }
    std::cout << "listening 127.0.0.1:" << server.port() << std::endl;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int index = 0; index < threadCount; ++index) {
        threads.emplace_back([&context] { context.run(); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return 0;
}

} // namespace lycheelanding::standins::common
