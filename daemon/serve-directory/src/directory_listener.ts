/** HTTP listeners for the directory of entries and for the readiness check. */

import {
  type EntryStatus,
  listCallerAddresses,
} from "@dandelionbank/track-entries";
import { PATHS } from "@dandelionbank/platform-adapter";
import type { IncomingMessage, ServerResponse } from "node:http";

/** The most addresses that callers accept in one answer. */
const MAX_ADDRESSES = 64;
const MS_PER_S = 1_000;

export interface DirectoryOptions {
  /** Returns the live entries, this one included. */
  readonly listEntries: () => readonly EntryStatus[];
  /** How long callers may cache an answer. */
  readonly ttlMs: number;
}

export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

export function createDirectoryListener(
  { listEntries, ttlMs }: DirectoryOptions,
): RequestListener {
  return (request, response) => {
    const url = new URL(request.url ?? "/", "http://directory");
    if (request.method !== "GET" || url.pathname !== PATHS.resolve) {
      response.writeHead(404).end();
      return;
    }
    const addresses = listCallerAddresses(listEntries(), {
      dataCentre: url.searchParams.get("zone") ?? undefined,
      maxCount: MAX_ADDRESSES,
    });
    if (addresses.length === 0) {
      response.writeHead(503).end();
      return;
    }
    const body = JSON.stringify({ addresses, "ttl_s": ttlMs / MS_PER_S });
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  };
}

export function createReadinessListener(
  isReady: () => boolean,
): RequestListener {
  return (request, response) => {
    const path = (request.url ?? "/").split("?", 1)[0];
    if (path !== PATHS.ready) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(isReady() ? 200 : 503).end();
  };
}
