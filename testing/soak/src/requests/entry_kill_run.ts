/** Measures how callers are affected when one of six entries is killed under load. */

import type { SubmissionResult } from "./caller_node.ts";
import { drawCall } from "./requests_soak.ts";
import { REQUEST_TIMEOUT_MS, RUN_END_MS, type SitePlan } from "./settings.ts";
import { Site } from "./site.ts";
import { World } from "./world.ts";

export interface EntryKillOptions {
  readonly seed: number;
  readonly calls: number;
}

export interface EntryKillFigures {
  /**
   * Percentage of submissions that were answered in time, among those sent to
   * other entries with keys whose home is not the killed entry.
   */
  readonly answeredElsewherePercent: number;
  readonly submissionsElsewhere: number;
  /** Percentages of all calls, by the outcome of their last submission. */
  readonly unknownPercent: number;
  readonly unansweredPercent: number;
  readonly violations: readonly string[];
}

const KILLED_ENTRY = "entry1";
/** Every entry has read every agent's registration by this time. */
const WORK_BEGINS_MS = 600;
const WORK_ENDS_MS = 3_600;
const KILL_MS = 1_900;
const DOWNTIME_MS = 4_000;
/** The delay is constant, so that the messages on a connection keep their order. */
const MESSAGE_DELAY_MS = 2;

const PLAN: SitePlan = {
  entries: createNames("entry", 6),
  agents: [
    ...createNames("engine", 16).map((target) => ({ target, pool: "engine" })),
    ...createNames("plain", 3).map((target) => ({ target, pool: "plain" })),
  ],
  callers: createNames("caller", 20),
  targetsFail: false,
  callersWait: true,
  room: 100,
};

export function measureEntryKill(options: EntryKillOptions): EntryKillFigures {
  const world = new World(options.seed, PLAN);
  const site = new Site(world);
  world.queue.setFaults({
    minDelayMs: MESSAGE_DELAY_MS,
    maxDelayMs: MESSAGE_DELAY_MS,
  });
  const killedHomeOperationIds = new Set<string>();
  for (let index = 0; index < options.calls; index++) {
    const atMs = world.random.int(WORK_BEGINS_MS, WORK_ENDS_MS);
    world.queue.runAt(
      atMs,
      () => beginCall(world, { site, killedHomeOperationIds }),
    );
  }
  world.queue.runAt(KILL_MS, () => site.killEntry(KILLED_ENTRY, DOWNTIME_MS));
  world.queue.runUntilQuiet({ limitMs: RUN_END_MS });
  site.checkEnd();
  const submissions = site.callers.flatMap((caller) =>
    caller.listSubmissions()
  );
  return summarise(world, { submissions, killedHomeOperationIds });
}

function beginCall(
  world: World,
  run: { readonly site: Site; readonly killedHomeOperationIds: Set<string> },
): void {
  const call = drawCall(world, run.site);
  const home = call.key?.ticket.incarnation ?? "";
  if (home.startsWith(KILLED_ENTRY)) {
    run.killedHomeOperationIds.add(call.operation.id);
  }
  world.random.pick(run.site.callers).submit(call);
}

function summarise(
  world: World,
  run: {
    readonly submissions: readonly SubmissionResult[];
    /** Operations with a key whose home is the killed entry. */
    readonly killedHomeOperationIds: ReadonlySet<string>;
  },
): EntryKillFigures {
  const { submissions, killedHomeOperationIds } = run;
  const elsewhere = submissions.filter(({ entry, operation }) =>
    entry !== KILLED_ENTRY && !killedHomeOperationIds.has(operation.id)
  );
  const inTime = elsewhere.filter(({ outcome, elapsedMs }) =>
    outcome === "answered" && elapsedMs <= REQUEST_TIMEOUT_MS
  );
  const lastOutcomes = new Map(
    submissions.map((end) => [end.operation.id, end.outcome]),
  );
  const ends = [...lastOutcomes.values()];
  const unknown = ends.filter((outcome) => outcome === "unknown");
  const unanswered = ends.filter((outcome) => outcome !== "answered");
  return {
    answeredElsewherePercent: toPercent(inTime.length, elsewhere.length),
    submissionsElsewhere: elsewhere.length,
    unknownPercent: toPercent(unknown.length, ends.length),
    unansweredPercent: toPercent(unanswered.length, ends.length),
    violations: world.violations,
  };
}

function toPercent(part: number, total: number): number {
  return total === 0 ? 0 : 100 * part / total;
}

function createNames(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${name}${index + 1}`);
}
