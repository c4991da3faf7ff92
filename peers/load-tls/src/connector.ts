/** Connector for undici that reads the current TLS material for each connection. */

import { createRequire } from "node:module";
import type { buildConnector as BuildConnector } from "undici";
import type { TlsMaterial } from "./tls_material.ts";

const DEFAULT_TIMEOUT_MS = 5_000;

/** Loaded by its file, since loading all of undici takes much memory. */
const buildConnector: typeof BuildConnector = createRequire(import.meta.url)(
  "undici/lib/core/connect.js",
);

export interface ConnectorOptions {
  /** Timeout for establishing a connection. */
  readonly timeoutMs?: number;
}

/** Creates a value for the `connect` option of an undici pool or client. */
export function createConnector(
  material: TlsMaterial,
  { timeoutMs = DEFAULT_TIMEOUT_MS }: ConnectorOptions = {},
): BuildConnector.connector {
  return (options, callback) => {
    const connect = buildConnector({
      ...material.createClientOptions(),
      // A resumed session would keep presenting a certificate that was replaced.
      maxCachedSessions: 0,
      timeout: timeoutMs,
    });
    connect(options, callback);
  };
}
