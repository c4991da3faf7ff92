/** Sends requests as the clients of PROTOCOL.md do, each attempt with its own id. */

import { randomBytes } from "node:crypto";
import { request as open } from "node:http";

const HOST = "calls.example";
export const KEY = "key-of-org-1";

/** Resolves with `{ id, status, headers, body, error }`; never rejects. */
export function call({ ip, port }, options) {
  const id = options.id ?? randomBytes(8).toString("hex");
  const { method = "POST", path, body = "", deadlineMs = 1_500 } = options;
  return new Promise((resolve) => {
    const result = { id, status: undefined, headers: {}, body: "" };
    const request = open({
      host: ip,
      port,
      method,
      path,
      agent: options.agent ?? false,
      headers: {
        host: HOST,
        "x-dandelionbank-attempt-id": id,
        "x-dandelionbank-deadline-ms": String(deadlineMs),
        "x-dandelionbank-credential": options.key ?? KEY,
        "content-length": String(Buffer.byteLength(body)),
        ...options.headers,
      },
    });
    const timer = setTimeout(
      () => request.destroy(new Error("deadline")),
      deadlineMs,
    );
    const end = (error) => {
      clearTimeout(timer);
      resolve({ ...result, error });
    };
    request.on("error", (error) => end(error.message));
    request.on("response", (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on("data", (chunk) => (result.body += chunk));
      response.on("error", (error) => end(error.message));
      response.on("end", () => end(response.complete ? undefined : "cut"));
    });
    request.end(body);
  });
}

/** A configuration with a route of each type, all to one service. */
export function createConfiguration(
  { service, version = 1, limits = {}, keys = [KEY] },
) {
  const route = {
    host: HOST,
    "timeout_ms": 4_000,
    "latency_goal_ms": 387,
    priority: 1,
    service,
    public: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "once",
        "path_prefix": "/once/",
        type: "non_idempotent",
        attempts: 1,
      },
      {
        ...route,
        name: "safe",
        "path_prefix": "/safe/",
        type: "idempotent",
        attempts: 2,
      },
      {
        ...route,
        name: "stream",
        "path_prefix": "/stream/",
        type: "streaming",
        "timeout_ms": 8_000,
        "latency_goal_ms": 501,
        attempts: 2,
        sticky: true,
        resumable: true,
        "target_gap_ms": 120,
      },
    ],
    services: [{
      name: service,
      "health_path": "/healthz",
      "max_conns": 110,
      protocol: "h1",
      tls: false,
    }],
    limits: {
      "max_header_bytes": 16_384,
      "max_body_bytes": 4_194_304,
      "header_timeout_ms": 3_000,
      "idle_timeout_ms": 15_000,
      ...limits,
    },
    tenants: [{ name: "org-1", api_keys: keys }],
  };
}
