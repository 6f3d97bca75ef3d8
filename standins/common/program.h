#pragma once

#include "lycheelanding/http/httpserver.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// Code shared by the stand-ins: command line, HTTP server, fault injection.
namespace lycheelanding::standins::common {

using Json = nlohmann::json;

struct ProgramOptions
{
    /// 0 binds an ephemeral port.
    std::uint16_t port = 0;
    /// Content of the settings file; an empty object without one.
    Json settings = Json::object();
};

/// Parses `--port N --settings FILE`. Returns nullopt when the program has to exit with `exitCode`.
std::optional<ProgramOptions> readOptions(int argc, char **argv, const std::string &name, int &exitCode);

/// Serves HTTP on 127.0.0.1 until SIGTERM or SIGINT; prints "listening 127.0.0.1:PORT" when ready. Returns the exit
/// code.
int serve(asio::io_context &context, std::uint16_t port, http::HttpHandler handler);

/// The main function of a stand-in. `StandIn` is constructed from an io_context and the settings, and its `handle()`
/// gets each exchange.
template <typename StandIn>
int runStandIn(int argc, char **argv, const std::string &name)
{
    int exitCode = 0;
    const auto options = readOptions(argc, argv, name, exitCode);
    if (!options) {
        return exitCode;
    }
    asio::io_context context;
    StandIn standIn(context, options->settings);
    return serve(context, options->port,
                 [&standIn](const http::HttpExchangePointer &exchange) { standIn.handle(exchange); });
}

} // namespace lycheelanding::standins::common
