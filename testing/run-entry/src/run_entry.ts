/**
 * Starts an entry of the users' platform in the current process, with a store and
 * engines, and sends plain HTTP calls to it.
 */

import type { Logger } from "@dandelionbank/log-events";
import { Registry } from "@dandelionbank/metrics";
import {
  type BootSettings,
  decodeBootSettings,
  HEADERS,
} from "@dandelionbank/platform-adapter";
import { IngressProcess } from "@dandelionbank/serve-ingress";
import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, type IncomingHttpHeaders, request } from "node:http";
import { createServer } from "node:net";
import process from "node:process";
import type { TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

export const ROUTE_HOST = "calls.example";
export const CALLER_KEY = "key-1";

/** An entry in the current process, with the store and engines that it uses. */
export interface Site {
  readonly store: SiteStore;
  readonly engines: readonly SiteEngine[];
  readonly entry: IngressProcess;
  readonly settings: BootSettings;
  /** Events that the entry has logged. */
  readonly lines: readonly LoggedLine[];
}

export interface LoggedLine {
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface SiteOptions {
  readonly engines?: number;
  readonly routes?: readonly Readonly<Record<string, unknown>>[];
  /** Time from SIGTERM to SIGKILL, within which a stopping entry has to finish. */
  readonly graceS?: number;
  /** The first configuration in the store. */
  readonly configuration?: Readonly<Record<string, unknown>>;
  /** Lines that add to and override the settings file. */
  readonly settingLines?: Readonly<Record<string, string>>;
}

/** Fields that the routes share. */
export const ROUTE = {
  host: ROUTE_HOST,
  "timeout_ms": 2_000,
  "latency_goal_ms": 300,
  priority: 1,
  service: "s",
  attempts: 2,
};

/** Routes of each type and a public one, each with its own path prefix. */
export const ROUTES = [
  { ...ROUTE, name: "safe", "path_prefix": "/safe/", type: "idempotent" },
  {
    ...ROUTE,
    name: "once",
    "path_prefix": "/once/",
    type: "non_idempotent",
    attempts: 1,
  },
  {
    ...ROUTE,
    name: "stream",
    "path_prefix": "/stream/",
    type: "streaming",
    resumable: true,
    "target_gap_ms": 120,
  },
  {
    ...ROUTE,
    name: "live",
    "path_prefix": "/live/",
    type: "streaming",
    "target_gap_ms": 120,
  },
  {
    ...ROUTE,
    name: "open",
    "path_prefix": "/open/",
    type: "idempotent",
    public: true,
    "timeout_ms": 400,
  },
] as const;

export function createConfiguration(
  { version = 1, routes = ROUTES, keys = [CALLER_KEY], maxBodyBytes = 4_096 }: {
    readonly version?: number;
    readonly maxBodyBytes?: number;
    readonly routes?: readonly unknown[];
    readonly keys?: readonly string[];
  } = {},
) {
  return {
    version,
    routes,
    services: [{ name: "s", "health_path": "/healthz", "max_conns": 40 }],
    limits: {
      "max_header_bytes": 16_384,
      "max_body_bytes": maxBodyBytes,
      "header_timeout_ms": 3_000,
      "idle_timeout_ms": 15_000,
    },
    tenants: [{ name: "org-1", "api_keys": keys }],
  };
}

/** Starts a site and waits until its entry is ready; stops it after the test. */
export async function startSite(
  t: TestContext,
  options: SiteOptions = {},
): Promise<Site> {
  const { engines: count = 2, graceS = 1 } = options;
  const { configuration = createConfiguration(), settingLines = {} } = options;
  const store = await SiteStore.create();
  const engines = await Promise.all(
    Array.from({ length: count }, (_, index) => SiteEngine.create(`e${index}`)),
  );
  store.put("config", "main", configuration);
  for (const engine of engines) {
    store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  }
  const settings = await createSettings({ store, graceS, settingLines });
  const lines: LoggedLine[] = [];
  const logger: Logger = {
    log: (name, fields) => void lines.push({ name, fields }),
  };
  const entry = await IngressProcess.create({
    settings,
    logger,
    registry: new Registry(),
  });
  await entry.start();
  const site = { store, engines, entry, settings, lines };
  t.after(async () => {
    store.availability = "available";
    await entry.stop();
    await Promise.all(engines.map((engine) => engine.close()));
    await store.close();
  });
  await waitFor(async () => (await fetchReadinessStatus(site)) === 200);
  await waitFor(() => lines.some(({ name }) => name === "targetsChanged"));
  return site;
}

async function createSettings(
  { store, graceS, settingLines }:
    & { readonly store: SiteStore }
    & Required<Pick<SiteOptions, "graceS" | "settingLines">>,
): Promise<BootSettings> {
  const [callers, ready, registry, peers] = await Promise.all(
    Array.from({ length: 4 }, findFreePort),
  );
  return createBootSettings({
    "node_name": "edge-1",
    ip: "127.0.0.1",
    "listen.frontend": `127.0.0.1:${callers}`,
    "listen.ready": `127.0.0.1:${ready}`,
    "listen.registry": `127.0.0.1:${registry}`,
    "port_range": `${peers},${peers}`,
    "bounds.grace_s": String(graceS),
    "platform.address": store.address,
    ...settingLines,
  });
}

const DEFAULT_SETTINGS = {
  zone: "a",
  "limits.memory_mb": "350",
  "bounds.grace_s": "8",
  "bounds.config_apply_ms": "1000",
  "bounds.revoke_ms": "2000",
  "bounds.reuse_after_s": "2",
  "bounds.stall_ms": "300",
  "bounds.retry_budget_ratio": "0.2",
  "bounds.budget_window_s": "10",
  "bounds.retry_budget_slack": "90",
  "bounds.ttl_max_s": "5",
};

/**
 * Creates settings in the platform's format, with short bounds so that tests
 * run fast; `lines` adds to and overrides the defaults.
 */
export function createBootSettings(
  lines: Readonly<Record<string, string>>,
): BootSettings {
  return decodeBootSettings(renderBootSettings(lines));
}

/** Renders settings as the `key=value` lines of the platform's file. */
export function renderBootSettings(
  lines: Readonly<Record<string, string>>,
): string {
  const fields = Object.entries({ ...DEFAULT_SETTINGS, ...lines });
  return fields.map((field) => field.join("=")).join("\n");
}

/**
 * Ports below those that systems assign by themselves, which other test processes
 * may get for their servers at any time.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Keeps processes that run at the same time apart. */
const PORTS_PER_PROCESS = 64;
let portCount = 0;

/** Returns a loopback port that is free at the time of the call. */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < PORT_COUNT; tries++) {
    const offset = process.pid * PORTS_PER_PROCESS + portCount;
    portCount += 1;
    const port = FIRST_PORT + offset % PORT_COUNT;
    if (await isPortFree(port)) return port;
  }
  throw new Error(`no free port of ${PORT_COUNT} from ${FIRST_PORT} on`);
}

async function isPortFree(port: number): Promise<boolean> {
  const server = createServer().listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}

export interface CallOptions {
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  readonly key?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

export interface CallAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** False if the connection closed before the end of the body. */
  readonly isComplete: boolean;
  readonly elapsedMs: number;
}

/** Makes the attempt id of each call unique. */
let lastAttemptNumber = 0;

/** Calls the entry; rejects if the connection ends before the answer's head. */
export function call(
  { settings }: Pick<Site, "settings">,
  options: CallOptions,
): Promise<CallAnswer> {
  const { path, method = "POST", body = "x", key = CALLER_KEY } = options;
  const { headers, agent, signal } = options;
  const startedMs = performance.now();
  lastAttemptNumber += 1;
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: settings.callers!.host,
      port: settings.callers!.port,
      path,
      method,
      agent: agent ?? false,
      ...(signal === undefined ? {} : { signal }),
      headers: {
        host: ROUTE_HOST,
        [HEADERS.attemptId]: `attempt-${lastAttemptNumber}`,
        [HEADERS.credential]: key,
        ...headers,
      },
    }, (response) => {
      let text = "";
      const settle = (isComplete: boolean) =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: text,
          isComplete,
          elapsedMs: performance.now() - startedMs,
        });
      response.on("data", (chunk) => text += String(chunk));
      response.on("end", () => settle(response.complete));
      response.on("error", () => settle(false));
    });
    outgoing.on("error", reject);
    outgoing.end(body);
  });
}

/** Returns the HTTP status of the entry's readiness endpoint. */
export function fetchReadinessStatus({ settings }: Pick<Site, "settings">) {
  return fetchStatus({ ...settings.readiness!, path: "/-/readyz" });
}

/** Asks the entry's directory for the addresses that serve `ROUTE_HOST`. */
export async function queryDirectory({ settings }: Pick<Site, "settings">) {
  const { host, port } = settings.directory!;
  const path = `/-/resolve?name=${ROUTE_HOST}&zone=a`;
  const response = await fetch(`http://${host}:${port}${path}`);
  return { status: response.status, text: await response.text() };
}

async function fetchStatus(
  { host, port, path }: {
    readonly host: string;
    readonly port: number;
    readonly path: string;
  },
): Promise<number> {
  const response = await fetch(`http://${host}:${port}${path}`);
  await response.body?.cancel();
  return response.status;
}

const WAIT_TIMEOUT_MS = 8_000;
const WAIT_POLL_INTERVAL_MS = 10;

/** Polls until the condition holds; fails after the timeout. */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  { timeoutMs = WAIT_TIMEOUT_MS }: { readonly timeoutMs?: number } = {},
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!await condition()) {
    assert.ok(
      performance.now() < deadlineMs,
      `condition not met within ${timeoutMs} ms`,
    );
    await delay(WAIT_POLL_INTERVAL_MS);
  }
}
