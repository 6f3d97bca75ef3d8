#include "schemapage.h"

#include "lycheelanding/configuration/configurationschema.h"
#include "settings/private/settingsschema.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

// Prints docs/CONFIGURATION.md. With --check FILE, exits with code 1 when the file differs from it.

namespace {

using namespace lycheelanding;

constexpr auto introduction = R"(# Configuration and settings

Written by `build/bin/configuration-page` from the JSON schemas that the programs check against; a test compares the
two. Unknown keys are errors. Times whose key ends in `Ms` are milliseconds.

## The configuration

The operators' document, one for the deployment; see `lycheectl --help` and `docs/design/configuration.md`. The
paths below are JSON pointers, as a patch names them, with `*` for the number of a list's entry.

Beyond the schema: ids are unique within their list; a group's model and version are listed under `models`; its ranks
are numbered from 0 without gaps; its slots over all ranks hold all experts; path prefixes are unique and none starts
with `/v1/`, `/configuration`, `/burn`, `/status`, `/drain`, `/metrics`, `/health` or `/ready`; a non-idempotent route
starts with the path prefix of its service; `defaultRequestTimeoutMs` is at most `maxRequestTimeoutMs`;
`initialConcurrency` is at most `maxConcurrency`; `heartbeatTimeoutMs` is at least two heartbeat intervals;
`idempotency/partitions` cannot be changed after the first version.
)";

std::string renderPage()
{
    return introduction + bench::schemaSections(configuration::configurationSchema()) + "\n## Settings of an entry\n"
        + bench::schemaSections(daemon::settings::entrySettingsSchema()) + "\n## Settings of a side\n"
        + bench::schemaSections(daemon::settings::sideSettingsSchema());
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3 || std::string(argv[1]) != "--check") {
        std::cout << renderPage();
        return 0;
    }
    std::ifstream file(argv[2], std::ios::binary);
    const std::string committed(std::istreambuf_iterator<char>(file), {});
    if (committed == renderPage()) {
        return 0;
    }
    std::cerr << argv[2] << " is out of date; regenerate it with: configuration-page > docs/CONFIGURATION.md\n";
    return 1;
}
