import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  type EngineCall,
  sendCompleteAnswer,
  SiteEngine,
  SiteStore,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  call,
  createConfiguration,
  EntryProgram,
  waitFor,
} from "@dandelionbank/run-entry";

const ENTRY_COUNT = 3;
const LIMIT_PER_S = 1;
/** Time after which all entries must keep to a limit, and the window of counts. */
const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
/** Requests allowed in a window: one and a half times the limit, plus five. */
const MAX_PER_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;
const CALL_INTERVAL_MS = 25;

test("Entries together send a target no more requests than the limit that it names", async (t) => {
  const { engines, entries } = await startLimitedSite(t);
  const [limited, other] = engines;
  const load = startLoad(entries);
  await waitFor(() => limited.calls.length > 0);
  const namedAtMs = performance.now();
  await delay(CONTACT_MS + 2 * WINDOW_MS);
  const arrivals = limited.arrivalsMs.filter((atMs) =>
    atMs >= namedAtMs + CONTACT_MS - WINDOW_MS / 2
  );
  const mostInWindow = Math.max(
    ...arrivals.map((fromMs) =>
      arrivals.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .length
    ),
  );
  limited.limitPerS = undefined;
  const before = limited.calls.length;
  await waitFor(() => limited.calls.length > before + MAX_PER_WINDOW, {
    timeoutMs: WINDOW_MS,
  });
  const statuses = await load.stop();
  assert.ok(mostInWindow <= MAX_PER_WINDOW, `${mostInWindow} in a window`);
  assert.ok(mostInWindow > 0, "the target must not be cut off");
  assert.ok(other.calls.length > 0);
  assert.ok(statuses.every((status) => status === 200));
});

test("When all targets are at their limits, calls are refused at once with the time to retry", async (t) => {
  const { engines, entries } = await startLimitedSite(t);
  for (const engine of engines) engine.limitPerS = LIMIT_PER_S;
  const load = startLoad(entries);
  await delay(1_500);
  await load.stop();
  const answer = await call(entries[0]!, { path: "/safe/a" });
  assert.equal(answer.status, 503);
  assert.ok(answer.elapsedMs < 100, `${answer.elapsedMs} ms`);
  const retryAfterS = Number(answer.headers["retry-after"]);
  assert.ok(retryAfterS > 0 && retryAfterS < 60, `${retryAfterS} s`);
});

/** An engine that names a limit in its answers while `limitPerS` is set. */
interface LimitedEngine {
  readonly calls: readonly EngineCall[];
  readonly arrivalsMs: readonly number[];
  limitPerS: number | undefined;
}

async function startLimitedSite(t: TestContext): Promise<{
  readonly engines: readonly [LimitedEngine, LimitedEngine];
  readonly entries: readonly EntryProgram[];
}> {
  const store = await SiteStore.create();
  store.put("config", "main", createConfiguration());
  t.after(() => store.close());
  const engines = await Promise.all([
    startLimitedEngine(t, { store, id: "e0" }),
    startLimitedEngine(t, { store, id: "e1" }),
  ]);
  engines[0].limitPerS = LIMIT_PER_S;
  const entries = await Promise.all(
    Array.from(
      { length: ENTRY_COUNT },
      (_, index) => EntryProgram.start(t, { store, number: index + 1 }),
    ),
  );
  return { engines, entries };
}

async function startLimitedEngine(
  t: TestContext,
  { store, id }: { readonly store: SiteStore; readonly id: string },
): Promise<LimitedEngine> {
  const engine = await SiteEngine.create(id);
  t.after(() => engine.close());
  store.put("servers", id, engine.createServerSpec({ service: "s" }));
  const arrivalsMs: number[] = [];
  const limited: LimitedEngine = {
    calls: engine.calls,
    arrivalsMs,
    limitPerS: undefined,
  };
  engine.script = (engineCall) => {
    arrivalsMs.push(performance.now());
    const { limitPerS } = limited;
    sendCompleteAnswer(
      limitPerS === undefined ? engineCall : {
        ...engineCall,
        answerHeaders: {
          ...engineCall.answerHeaders,
          [HEADERS.targetLimit]: limitPerS.toFixed(1),
        },
      },
    );
  };
  return limited;
}

/** Calls the entries in turn; `stop` returns the statuses of all answers. */
function startLoad(entries: readonly EntryProgram[]): {
  readonly stop: () => Promise<readonly number[]>;
} {
  const calls: Promise<number>[] = [];
  const timer = setInterval(() => {
    const entry = entries[calls.length % entries.length]!;
    calls.push(call(entry, { path: "/safe/a" }).then(({ status }) => status));
  }, CALL_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      return Promise.all(calls);
    },
  };
}
