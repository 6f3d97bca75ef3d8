#include "lycheelanding/configuration/configurationschema.h"

namespace lycheelanding::configuration {

namespace {

// clang-format off
constexpr std::string_view schema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "lycheelanding configuration",
  "definitions": {
    "id": {"type": "string", "minLength": 1, "maxLength": 128, "pattern": "^[A-Za-z0-9][A-Za-z0-9._:-]*$"},
    "path": {"type": "string", "minLength": 2, "maxLength": 256, "pattern": "^/[A-Za-z0-9._~/-]+$"}
  },
  "type": "object",
  "description": "The configuration of one deployment.",
  "additionalProperties": false,
  "required": [
    "organisations",
    "models",
    "groups",
    "services"
  ],
  "properties": {
    "organisations": {
      "type": "array",
      "description": "Organisations whose requests are served.",
      "maxItems": 10000,
      "items": {
        "type": "object",
        "description": "An organisation.",
        "additionalProperties": false,
        "required": [
          "id"
        ],
        "properties": {
          "id": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Value of the Organisation header."},
          "weight": {"type": "number", "description": "Share of the capacity relative to the other organisations.", "minimum": 0.001, "maximum": 1000, "default": 1.0},
          "maxInFlight": {"type": "integer", "description": "Requests running or queued over all entries.", "minimum": 1, "maximum": 1000000, "default": 256}
        }
      }
    },
    "models": {
      "type": "array",
      "description": "Model versions that groups run.",
      "maxItems": 1000,
      "items": {
        "type": "object",
        "description": "A model version.",
        "additionalProperties": false,
        "required": [
          "id",
          "version"
        ],
        "properties": {
          "id": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Name of the model, as requests give it."},
          "version": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Version of the model's weights."}
        }
      }
    },
    "groups": {
      "type": "array",
      "description": "Rank groups that run a model version in lock-step.",
      "maxItems": 2000,
      "items": {
        "type": "object",
        "description": "A rank group.",
        "additionalProperties": false,
        "required": [
          "id",
          "model",
          "modelVersion",
          "expertLayers",
          "experts",
          "slotsPerRank",
          "ranks"
        ],
        "properties": {
          "id": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Name of the group."},
          "model": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Model that the group runs."},
          "modelVersion": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Version of the model that the group runs."},
          "expertLayers": {"type": "integer", "description": "Layers with experts.", "minimum": 1, "maximum": 1024},
          "experts": {"type": "integer", "description": "Experts per layer.", "minimum": 1, "maximum": 4096},
          "slotsPerRank": {"type": "integer", "description": "Expert replicas that one rank holds per layer.", "minimum": 1, "maximum": 4096},
          "ranks": {
            "type": "array",
            "description": "Place of each rank; ranks are numbered from 0 without gaps.",
            "maxItems": 4096,
            "items": {
              "type": "object",
              "description": "The place of one rank.",
              "additionalProperties": false,
              "required": [
                "rank",
                "vm"
              ],
              "properties": {
                "rank": {"type": "integer", "description": "Number of the rank.", "minimum": 0, "maximum": 4095},
                "vm": {"allOf": [{"$ref": "#/definitions/id"}], "description": "VM that holds the rank."}
              }
            },
            "minItems": 1
          }
        }
      }
    },
    "services": {
      "type": "array",
      "description": "Plain services, routed to by path prefix.",
      "maxItems": 1000,
      "items": {
        "type": "object",
        "description": "A plain service.",
        "additionalProperties": false,
        "required": [
          "id",
          "pathPrefix"
        ],
        "properties": {
          "id": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Name of the service."},
          "pathPrefix": {"allOf": [{"$ref": "#/definitions/path"}], "description": "Requests whose path starts with it go to the service; the longest prefix wins."},
          "vms": {
            "type": "array",
            "description": "VMs that run the service.",
            "maxItems": 2000,
            "items": {"allOf": [{"$ref": "#/definitions/id"}]},
            "default": []
          },
          "nonIdempotentRoutes": {
            "type": "array",
            "description": "Calls that run at most once.",
            "maxItems": 1000,
            "items": {
              "type": "object",
              "description": "A route of non-idempotent calls.",
              "additionalProperties": false,
              "required": [
                "method",
                "pathPrefix"
              ],
              "properties": {
                "method": {"description": "HTTP method.", "type": "string", "enum": [ "GET", "POST", "PUT", "PATCH", "DELETE" ]},
                "pathPrefix": {"allOf": [{"$ref": "#/definitions/path"}], "description": "Paths that start with it; starts with the path prefix of the service."}
              }
            },
            "default": []
          }
        }
      }
    },
    "backendServers": {
      "type": "array",
      "description": "What is known of single backend servers.",
      "maxItems": 10000,
      "items": {
        "type": "object",
        "description": "A backend server.",
        "additionalProperties": false,
        "required": [
          "vm"
        ],
        "properties": {
          "vm": {"allOf": [{"$ref": "#/definitions/id"}], "description": "VM of the backend server."},
          "honoursFencing": {"type": "boolean", "description": "Whether the engine refuses orders that carry an old fencing number.", "default": false}
        }
      },
      "default": []
    },
    "limits": {
      "type": "object",
      "description": "Limits on requests and on processes.",
      "additionalProperties": false,
      "properties": {
        "maxBodyBytes": {"type": "integer", "description": "Largest request body, in bytes.", "minimum": 1024, "maximum": 67108864, "default": 1048576},
        "defaultRequestTimeoutMs": {"type": "integer", "description": "Timeout of a request that names none, in milliseconds.", "minimum": 1, "maximum": 86400000, "default": 30000},
        "maxRequestTimeoutMs": {"type": "integer", "description": "Longest timeout of a request, in milliseconds.", "minimum": 1, "maximum": 86400000, "default": 600000},
        "drainLimitMs": {"type": "integer", "description": "Longest time that a stopping process waits for running requests, in milliseconds.", "minimum": 0, "maximum": 86400000, "default": 30000},
        "queuePerOrganisation": {"type": "integer", "description": "Requests of one organisation that wait at one entry.", "minimum": 0, "maximum": 100000, "default": 256},
        "initialConcurrency": {"type": "integer", "description": "Requests running at one backend server at first.", "minimum": 1, "maximum": 100000, "default": 16},
        "maxConcurrency": {"type": "integer", "description": "Requests running at one backend server at most.", "minimum": 1, "maximum": 100000, "default": 256}
      }
    },
    "retries": {
      "type": "object",
      "description": "Retries of idempotent requests and of requests that did not run.",
      "additionalProperties": false,
      "properties": {
        "budgetRatio": {"type": "number", "description": "Retries allowed per request sent.", "minimum": 0, "maximum": 1, "default": 0.1},
        "maxAttempts": {"type": "integer", "description": "Attempts of one request, the first included.", "minimum": 1, "maximum": 10, "default": 3},
        "baseDelayMs": {"type": "integer", "description": "Delay before the first retry, in milliseconds; doubles with each further one.", "minimum": 0, "maximum": 10000, "default": 25}
      }
    },
    "idempotency": {
      "type": "object",
      "description": "Records of non-idempotent requests.",
      "additionalProperties": false,
      "properties": {
        "retentionSeconds": {"type": "integer", "description": "Time for which a repeat of an idempotency key is recognised, in seconds.", "minimum": 60, "maximum": 604800, "default": 3600},
        "partitions": {"type": "integer", "description": "Values in the key-value service that the keys are spread over; fixed once a version is accepted.", "minimum": 1, "maximum": 65536, "default": 256}
      }
    },
    "experts": {
      "type": "object",
      "description": "Placement of experts on ranks.",
      "additionalProperties": false,
      "properties": {
        "weights": {"type": "string", "description": "Preset of the planner: bvp keeps skew low, jackhead keeps movement low.", "enum": ["bvp", "jackhead"], "default": "bvp"},
        "skewWeight": {"type": "number", "description": "Factor on the preset's weight of step-time skew.", "minimum": 0, "maximum": 1000, "default": 1.0},
        "movementWeight": {"type": "number", "description": "Factor on the preset's weight of movement cost.", "minimum": 0, "maximum": 1000, "default": 1.0},
        "weightStoreBytesPerSecond": {"type": "integer", "description": "Rate at which the weight store serves one group, in bytes per second; the preset takes its share of it.", "minimum": 1, "maximum": 1000000000000, "default": 1000000000},
        "planIntervalMs": {"type": "integer", "description": "Time between two plans, in milliseconds.", "minimum": 100, "maximum": 86400000, "default": 10000},
        "expertBytes": {"type": "integer", "description": "Weights of one expert of one layer, in bytes.", "minimum": 1, "maximum": 1000000000000, "default": 50000000}
      }
    },
    "membership": {
      "type": "object",
      "description": "Heartbeats between entries and sides.",
      "additionalProperties": false,
      "properties": {
        "heartbeatIntervalMs": {"type": "integer", "description": "Time between two heartbeats, in milliseconds.", "minimum": 50, "maximum": 60000, "default": 500},
        "heartbeatTimeoutMs": {"type": "integer", "description": "Silence after which a peer is taken for lost, in milliseconds; at least two intervals.", "minimum": 100, "maximum": 600000, "default": 2000}
      }
    },
    "objectives": {
      "type": "array",
      "description": "Service-level objectives.",
      "maxItems": 10000,
      "items": {
        "type": "object",
        "description": "An objective of a service or a model.",
        "additionalProperties": false,
        "properties": {
          "service": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Plain service that the objective is for; exactly one of service and model is given."},
          "model": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Model that the objective is for."},
          "organisation": {"allOf": [{"$ref": "#/definitions/id"}], "description": "Organisation that the objective is for; each organisation when absent."},
          "availability": {"type": "number", "description": "Part of the requests that must succeed.", "minimum": 0.5, "maximum": 0.99999, "default": 0.999},
          "firstTokenMs": {"type": "integer", "description": "Time to the first token, in milliseconds.", "minimum": 1, "maximum": 86400000, "default": 2000},
          "firstTokenTarget": {"type": "number", "description": "Part of the answers that must begin within firstTokenMs.", "minimum": 0.5, "maximum": 0.99999, "default": 0.99},
          "betweenTokensMs": {"type": "integer", "description": "Time between two tokens, in milliseconds.", "minimum": 1, "maximum": 86400000, "default": 200},
          "betweenTokensTarget": {"type": "number", "description": "Part of the tokens that must follow within betweenTokensMs.", "minimum": 0.5, "maximum": 0.99999, "default": 0.99}
        }
      },
      "default": []
    }
  }
})json";
// clang-format on

} // namespace

std::string_view configurationSchema()
{
    return schema;
}

} // namespace lycheelanding::configuration
