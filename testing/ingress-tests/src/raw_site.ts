/** An entry process whose targets answer byte by byte. */

import {
  call,
  createConfiguration,
  EntryProgram,
  ROUTES,
  waitFor,
} from "@dandelionbank/run-entry";
import {
  RawEngine,
  type RawScript,
  SiteStore,
} from "@dandelionbank/standin-site";
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

let lastNumber = 0;

/** Returns an id that no other engine or call of this process has. */
export function nextId(prefix: string): string {
  lastNumber += 1;
  return `${prefix}${lastNumber}`;
}
