/** An entry process whose targets answer byte by byte. */

import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  call,
  type CallAnswer,
  CALLER_KEY,
  createConfiguration,
  EntryProgram,
  ROUTE_HOST,
  ROUTES,
  waitFor,
} from "@dandelionbank/run-entry";
import {
  RawEngine,
  type RawScript,
  SiteStore,
} from "@dandelionbank/standin-site";
import { Agent } from "node:http";
import { connect, type Socket } from "node:net";
import type { TestContext } from "node:test";

const ENGINE_COUNT = 4;

export interface RawSite {
  readonly entry: EntryProgram;
  readonly store: SiteStore;
}

/** Starts an entry without targets. */
export async function startRawSite(
  t: TestContext,
  { routeTimeoutMs, graceS }: {
    readonly routeTimeoutMs: number;
    readonly graceS?: number;
  },
): Promise<RawSite> {
  const store = await SiteStore.create();
  t.after(() => store.close());
  const routes = ROUTES.map((route) => ({
    ...route,
    "timeout_ms": routeTimeoutMs,
  }));
  store.put("config", "main", createConfiguration({ routes }));
  const entry = await EntryProgram.start(t, {
    store,
    number: 1,
    ...(graceS === undefined ? {} : { graceS }),
  });
  return { store, entry };
}

/**
 * Starts targets and waits until the entry uses them; they leave after the test,
 * so that what the entry has learned about them plays no part in the next one.
 */
export async function startRawEngines(
  t: TestContext,
  { store, entry }: RawSite,
  script: RawScript,
): Promise<readonly RawEngine[]> {
  const engines = await Promise.all(
    Array.from({ length: ENGINE_COUNT }, () => RawEngine.create(nextId("e"))),
  );
  for (const engine of engines) {
    const { id } = engine;
    engine.script = script;
    store.put("servers", id, engine.createServerSpec({ service: "s" }));
  }
  t.after(async () => {
    for (const { id } of engines) store.remove("servers", id);
    await Promise.all(engines.map((engine) => engine.close()));
  });
  await waitFor(async () => {
    const path = `/open/${nextId("a")}`;
    await call(entry, { path }).catch(() => undefined);
    return engines.some(({ calls }) => calls.length > 0);
  });
  return engines;
}

/** Waits until the entry has used each of the targets. */
export async function waitForEngines(
  { entry }: RawSite,
  engines: readonly RawEngine[],
): Promise<void> {
  await waitFor(async () => {
    await Promise.all(
      engines.map(() => call(entry, { path: `/open/${nextId("a")}` })),
    );
    return engines.every(({ calls }) => calls.length > 0);
  });
}

/** Calls by an attempt id of its own, which also ends the path. */
export async function callNamed(
  { entry }: RawSite,
  path: string,
): Promise<{ readonly attemptId: string; readonly answer: CallAnswer }> {
  const attemptId = nextId("a");
  const headers = { [HEADERS.attemptId]: attemptId };
  const answer = await call(entry, { path: `${path}${attemptId}`, headers });
  return { attemptId, answer };
}

/** Sends a call, and leaves it to the caller to read the answer. */
export function sendRawCall({ entry }: RawSite, path: string): Socket {
  const { host, port } = entry.settings.callers!;
  const socket = connect(port, host);
  const lines = [
    `POST ${path} HTTP/1.1`,
    `host: ${ROUTE_HOST}`,
    `${HEADERS.attemptId}: ${path.split("/").pop()}`,
    `${HEADERS.credential}: ${CALLER_KEY}`,
    "content-length: 0",
  ];
  socket.on("error", () => undefined);
  socket.write(`${lines.join("\r\n")}\r\n\r\n`);
  return socket;
}

export interface NamedResult {
  readonly attemptId: string;
  readonly path: string;
  /** Undefined if the connection ended before the answer's head. */
  readonly answer: CallAnswer | undefined;
}

/** Several callers call one after the other, each on a connection that is kept. */
export async function callRepeatedly(
  { entry }: RawSite,
  { callers, callsPerCaller, paths, method = "POST" }: {
    readonly callers: number;
    readonly callsPerCaller: number;
    /** The starts of paths, in turn; the attempt id ends each path. */
    readonly paths: readonly string[];
    readonly method?: string;
  },
): Promise<readonly NamedResult[]> {
  const body = method === "HEAD" ? "" : "x";
  const results = Array.from({ length: callers }, async () => {
    const agent = new Agent({ keepAlive: true });
    const own: NamedResult[] = [];
    for (let index = 0; index < callsPerCaller; index++) {
      const attemptId = nextId("a");
      const path = paths[index % paths.length]! + attemptId;
      const headers = { [HEADERS.attemptId]: attemptId };
      const answer = await call(entry, { path, method, body, headers, agent })
        .catch(() => undefined);
      own.push({ attemptId, path, answer });
    }
    agent.destroy();
    return own;
  });
  return (await Promise.all(results)).flat();
}

let lastNumber = 0;

/** Returns an id that no other engine or call of this process has. */
export function nextId(prefix: string): string {
  lastNumber += 1;
  return `${prefix}${lastNumber}`;
}

/** Renders events with ids that rise by one. */
export function renderEvents(first: number, last: number): string {
  let text = "";
  for (let id = first; id <= last; id++) text += `id: ${id}\ndata: t${id}\n\n`;
  return text;
}
