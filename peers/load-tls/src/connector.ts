/** Makes connections for undici with the certificate that is current at the time. */

import { createRequire } from "node:module";
import type { buildConnector as BuildConnector } from "undici";
import type { TlsMaterial } from "./tls_material.ts";

const DEFAULT_TIMEOUT_MS = 5_000;

/** The connector alone, since loading all of undici costs much memory. */
const buildConnector: typeof BuildConnector = createRequire(import.meta.url)(
  "undici/lib/core/connect.js",
);

export interface ConnectorOptions {
  /** Longest wait for a connection. */
  readonly timeoutMs?: number;
}

/** For the `connect` option of a pool or client. */
export function createConnector(
  material: TlsMaterial,
  { timeoutMs = DEFAULT_TIMEOUT_MS }: ConnectorOptions = {},
): BuildConnector.connector {
  return (options, callback) => {
    const connect = buildConnector({
      ...material.createClientOptions(),
      // A resumed session would show the other side a certificate since replaced.
      maxCachedSessions: 0,
      timeout: timeoutMs,
    });
    connect(options, callback);
  };
}
