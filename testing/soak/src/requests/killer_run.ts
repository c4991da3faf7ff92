/**
 * A request that crashes each target that runs it, sent again under new keys
 * through other entries, beside calls that do no harm.
 */

import type { CallPlan } from "./caller_node.ts";
import { drawCall } from "./requests_soak.ts";
import { RUN_END_MS, type SitePlan, SMALL_SITE } from "./settings.ts";
import { Site } from "./site.ts";
import { World } from "./world.ts";

export interface KillerOptions {
  readonly seed: number;
  /** How often the request is sent. */
  readonly resends: number;
  /** Harmless calls beside it. */
  readonly calls: number;
}

export interface KillerFigures {
  readonly targetsLost: number;
  readonly killerQuarantined: boolean;
  readonly innocentsQuarantined: number;
  /** What the request heard under its last key. */
  readonly lastOutcome: string | undefined;
  readonly violations: readonly string[];
}

const FINGERPRINT = "deadbeef".repeat(3);
const WORK_BEGINS_MS = 600;
const WORK_ENDS_MS = 5_500;
const RESEND_MS = 600;
const WAY_MS = 2;
/** Harmless calls take long, so that many are lost with a target. */
const SLOWEST_PART_MS = 120;

const PLAN: SitePlan = {
  ...SMALL_SITE,
  agents: Array.from({ length: 8 }, (_, at) => ({
    target: `plain${at + 1}`,
    pool: "plain",
  })).concat({ target: "engine1", pool: "engine" }),
  targetsFail: false,
  callersWait: true,
  room: 50,
};

export function measureKiller(options: KillerOptions): KillerFigures {
  const world = new World(options.seed, PLAN);
  const site = new Site(world);
  const { queue, random } = world;
  world.slowestPartMs = SLOWEST_PART_MS;
  queue.setFaults({ minDelayMs: WAY_MS, maxDelayMs: WAY_MS });
  for (let at = 0; at < options.calls; at++) {
    const atMs = random.int(WORK_BEGINS_MS, WORK_ENDS_MS);
    queue.runAt(
      atMs,
      () => random.pick(site.callers).begin(drawCall(world, site)),
    );
  }
  const idempotent = random.chance(0.5);
  const killers: CallPlan[] = [];
  for (let at = 0; at < options.resends; at++) {
    queue.runAt(WORK_BEGINS_MS + 100 + at * RESEND_MS, () => {
      const killer = createKiller(world, { site, idempotent });
      killers.push(killer);
      site.callers[0]?.begin(killer);
    });
  }
  queue.runUntilQuiet({ limitMs: RUN_END_MS });
  site.checkEnd();
  const sendings = site.callers[0]?.listSendings() ?? [];
  const lastKiller = killers.at(-1)?.operation;
  const last = sendings.find(({ operation }) => operation === lastKiller);
  const innocents = [...world.quarantined].filter((name) =>
    name !== FINGERPRINT
  );
  return {
    targetsLost: world.faults["targetCrashed"] ?? 0,
    killerQuarantined: world.quarantined.has(FINGERPRINT),
    innocentsQuarantined: innocents.length,
    lastOutcome: last?.outcome,
    violations: world.violations,
  };
}

/** The same call each time, under a new key. */
function createKiller(
  world: World,
  options: { readonly site: Site; readonly idempotent: boolean },
): CallPlan {
  const plan = drawCall(world, options.site);
  const operation = {
    ...plan.operation,
    pool: "plain",
    idempotent: options.idempotent,
    fingerprint: FINGERPRINT,
    kills: true,
  };
  world.operations.set(operation.id, operation);
  return { operation, key: plan.key };
}
