#include "entry/entrydaemon.h"
#include "logging/statelog.h"
#include "settings/daemonsettings.h"
#include "side/sidedaemon.h"

#include "platform/entryprogram.h"
#include "platform/sideprogram.h"

#include "lycheelanding/core/version.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using namespace lycheelanding;

constexpr int exitUsage = 2;

int reportError(const std::string &reason)
{
    std::cerr << "lycheelandingd: " << reason << std::endl;
    return exitUsage;
}

/// Runs one role with its settings, or only checks the settings.
template <typename Daemon, typename Settings>
int runRole(const core::Result<Settings> &settings, bool checkOnly)
{
    if (!core::isOk(settings)) {
        return reportError(core::errorOf(settings).detail);
    }
    if (checkOnly) {
        std::cout << "settings are valid" << std::endl;
        return EXIT_SUCCESS;
    }
    const auto &common = core::valueOf(settings).common;
    daemon::logging::startLogging(common.logLevel, common.vm.text());
    Daemon daemon(core::valueOf(settings));
    const auto status = daemon.run();
    return core::isOk(status) ? EXIT_SUCCESS : reportError(core::errorOf(status).detail);
}

/// Runs one role with the settings from the users' platform.
int runOnPlatform(const std::string &role, bool checkOnly)
{
    if (role == "entry") {
        return platform::runEntry(checkOnly);
    }
    if (role == "side") {
        return platform::runSide(checkOnly);
    }
    return reportError("role \"" + role + "\" is neither entry nor side");
}

cxxopts::Options commandLine()
{
    cxxopts::Options options("lycheelandingd", "Load balancer for expert-parallel model groups.\n");
    options.positional_help("entry|side");
    options.add_options() //
        ("role", "entry: serves callers on an entry VM; side: runs beside one backend server", //
         cxxopts::value<std::string>()) //
        ("settings", "JSON settings file of the process", cxxopts::value<std::string>(), "FILE") //
        ("platform", "run on the users' platform: its settings file stands in the environment") //
        ("check", "check the settings and exit: 0 when they are valid, 2 when they are not") //
        ("version", "print the version and exit") //
        ("h,help", "print this help and exit");
    options.parse_positional({"role"});
    return options;
}

int runCommandLine(int argc, char **argv)
{
    auto options = commandLine();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return EXIT_SUCCESS;
    }
    if (arguments.count("version") > 0) {
        std::cout << "lycheelandingd " << core::versionText << std::endl;
        return EXIT_SUCCESS;
    }
    if (arguments.count("platform") > 0) {
        const auto platformRole = arguments.count("role") > 0 ? arguments["role"].as<std::string>() : std::string();
        return runOnPlatform(platformRole, arguments.count("check") > 0);
    }
    if (arguments.count("role") == 0 || arguments.count("settings") == 0) {
        return reportError("usage: lycheelandingd entry|side --settings FILE [--check] or entry|side --platform");
    }
    const auto role = arguments["role"].as<std::string>();
    const auto file = arguments["settings"].as<std::string>();
    const bool checkOnly = arguments.count("check") > 0;
    if (role == "entry") {
        return runRole<daemon::entry::EntryDaemon>(daemon::settings::readEntrySettings(file), checkOnly);
    }
    if (role == "side") {
        return runRole<daemon::side::SideDaemon>(daemon::settings::readSideSettings(file), checkOnly);
    }
    return reportError("role \"" + role + "\" is neither entry nor side");
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runCommandLine(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        return reportError(exception.what());
    } catch (const std::exception &exception) {
        std::cerr << "lycheelandingd: " << exception.what() << std::endl;
        return EXIT_FAILURE;
    }
}
