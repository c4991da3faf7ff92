/** One of six entries is killed under load; how do the callers fare? */

import type { SendingEnd } from "./caller_node.ts";
import { drawCall } from "./requests_soak.ts";
import { REQUEST_TIMEOUT_MS, RUN_END_MS, type SitePlan } from "./settings.ts";
import { Site } from "./site.ts";
import { World } from "./world.ts";

export interface EntryKillOptions {
  readonly seed: number;
  readonly calls: number;
}

export interface EntryKillFigures {
  /** Of the sendings to other entries, with keys of other homes, in percent. */
  readonly answeredElsewherePercent: number;
  readonly sendingsElsewhere: number;
  /** Of all calls, by what their last sending heard, in percent. */
  readonly unknownPercent: number;
  readonly unansweredPercent: number;
  readonly violations: readonly string[];
}

const KILLED = "entry1";
/** Every entry has read of every agent by then. */
const WORK_BEGINS_MS = 600;
const WORK_ENDS_MS = 3_600;
const KILL_MS = 1_900;
const DOWN_MS = 4_000;
/** The same for each message: connections keep their order. */
const WAY_MS = 2;

const PLAN: SitePlan = {
  entries: numbered("entry", 6),
  agents: [
    ...numbered("engine", 16).map((target) => ({ target, pool: "engine" })),
    ...numbered("plain", 3).map((target) => ({ target, pool: "plain" })),
  ],
  callers: numbered("caller", 20),
  targetsFail: false,
  callersWait: true,
  room: 100,
};

export function measureEntryKill(options: EntryKillOptions): EntryKillFigures {
  const world = new World(options.seed, PLAN);
  const site = new Site(world);
  world.queue.setFaults({ minDelayMs: WAY_MS, maxDelayMs: WAY_MS });
  const killedKeys = new Set<string>();
  for (let at = 0; at < options.calls; at++) {
    const atMs = world.random.int(WORK_BEGINS_MS, WORK_ENDS_MS);
    world.queue.runAt(atMs, () => beginCall(world, { site, killedKeys }));
  }
  world.queue.runAt(KILL_MS, () => site.killEntry(KILLED, DOWN_MS));
  world.queue.runUntilQuiet({ limitMs: RUN_END_MS });
  site.checkEnd();
  const sendings = site.callers.flatMap((caller) => caller.listSendings());
  return summarise(world, { sendings, killedKeys });
}

function beginCall(
  world: World,
  run: { readonly site: Site; readonly killedKeys: Set<string> },
): void {
  const plan = drawCall(world, run.site);
  const home = plan.key?.ticket.incarnation ?? "";
  if (home.startsWith(KILLED)) run.killedKeys.add(plan.operation.id);
  world.random.pick(run.site.callers).begin(plan);
}

function summarise(
  world: World,
  run: {
    readonly sendings: readonly SendingEnd[];
    readonly killedKeys: ReadonlySet<string>;
  },
): EntryKillFigures {
  const { sendings, killedKeys } = run;
  const elsewhere = sendings.filter(({ entry, operation }) =>
    entry !== KILLED && !killedKeys.has(operation.id)
  );
  const inTime = elsewhere.filter(({ outcome, tookMs }) =>
    outcome === "answered" && tookMs <= REQUEST_TIMEOUT_MS
  );
  const last = new Map(sendings.map((end) => [end.operation.id, end.outcome]));
  const ends = [...last.values()];
  const unknown = ends.filter((outcome) => outcome === "unknown");
  const unanswered = ends.filter((outcome) => outcome !== "answered");
  return {
    answeredElsewherePercent: percent(inTime.length, elsewhere.length),
    sendingsElsewhere: elsewhere.length,
    unknownPercent: percent(unknown.length, ends.length),
    unansweredPercent: percent(unanswered.length, ends.length),
    violations: world.violations,
  };
}

function percent(part: number, whole: number): number {
  return whole === 0 ? 0 : 100 * part / whole;
}

function numbered(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `${name}${at + 1}`);
}
