#include "settings/private/settingsschema.h"

#include <string>

namespace lycheelanding::daemon::settings {

namespace {

constexpr auto commonProperties = R"json(
    "vm": {"type": "string", "minLength": 1, "description": "name of the VM, as in the VM list"},
    "dataCentre": {"type": "string", "minLength": 1, "description": "data centre of the VM"},
    "peerAddress": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$",
                    "description": "IP:PORT at which peers are accepted"},
    "httpAddress": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$",
                    "description": "IP:PORT of the HTTP interface"},
    "vmListUrl": {"type": "string", "pattern": "^http://", "description": "base URL of the VM list"},
    "vmListIntervalMs": {"type": "integer", "minimum": 50, "maximum": 60000,
                         "default": 1000, "description": "interval between readings of the VM list, ms"},
    "workers": {"type": "integer", "minimum": 1, "maximum": 64, "default": 2,
                "description": "worker threads"},
    "logLevel": {"type": "string", "enum": ["DEBUG", "INFO", "WARN", "ERROR"], "default": "INFO",
                 "description": "lowest level logged"}
)json";

constexpr auto entryProperties = R"json(
    "keyValueUrl": {"type": "string", "pattern": "^http://", "description": "base URL of the key-value service"},
    "keyValueTimeoutMs": {"type": "integer", "minimum": 10, "maximum": 60000,
                          "default": 1000, "description": "time limit of one call to the key-value service, ms"},
    "maxHeaderValueBytes": {"type": "integer", "minimum": 256, "maximum": 65536,
                            "default": 8192, "description": "bound of one header value, bytes"},
    "readTimeoutMs": {"type": "integer", "minimum": 100, "maximum": 600000,
                      "default": 15000, "description": "time limit for reading one request, ms"},
    "maxUnsentBytes": {"type": "integer", "minimum": 4096, "maximum": 67108864,
                       "default": 1048576, "description": "bytes that may wait for a slow caller"},
    "notReadyTimeMs": {"type": "integer", "minimum": 0, "maximum": 60000,
                       "default": 5000, "description": "time of service after readiness has ended, ms"}
)json";

constexpr auto sideProperties = R"json(
    "backendUrl": {"type": "string", "pattern": "^http://", "description": "base URL of the backend server"},
    "backendKind": {"type": "string", "enum": ["engine", "plain"], "description": "kind of the backend server"},
    "keyValueUrl": {"type": "string", "pattern": "^http://",
                    "description": "base URL of the key-value service, beside model engines"},
    "loadIntervalMs": {"type": "integer", "minimum": 20, "maximum": 60000,
                       "default": 200, "description": "interval between readings of the engine's load, ms"}
)json";

std::string makeSchema(const std::string &roleProperties, const std::string &roleRequired)
{
    return R"json({"type": "object", "additionalProperties": false, "properties": {)json"
        + std::string(commonProperties) + "," + roleProperties + R"json(}, "required": ["vm", "dataCentre",
        "peerAddress", "httpAddress", "vmListUrl", )json"
        + roleRequired + "]}";
}

} // namespace

std::string_view entrySettingsSchema()
{
    static const std::string schema = makeSchema(entryProperties, R"json("keyValueUrl")json");
    return schema;
}

std::string_view sideSettingsSchema()
{
    static const std::string schema = makeSchema(sideProperties, R"json("backendUrl", "backendKind")json");
    return schema;
}

} // namespace lycheelanding::daemon::settings
