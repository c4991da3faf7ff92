/**
 * Measures the quarantine of a request that crashes every target that runs it.
 * A caller submits it again and again under new keys through random entries,
 * beside harmless calls.
 */

import type { PlannedCall } from "./caller_node.ts";
import { drawCall } from "./requests_soak.ts";
import { RUN_END_MS, type SitePlan, SMALL_SITE } from "./settings.ts";
import { Site } from "./site.ts";
import { World } from "./world.ts";

export interface CrashingRequestOptions {
  readonly seed: number;
  /** Number of times that the crashing request is submitted. */
  readonly submissions: number;
  /** Number of harmless calls. */
  readonly calls: number;
}

export interface CrashingRequestFigures {
  readonly targetsLost: number;
  readonly isCrashingRequestQuarantined: boolean;
  readonly harmlessRequestsQuarantined: number;
  /** Outcome of the crashing request under its last key. */
  readonly lastOutcome: string | undefined;
  readonly violations: readonly string[];
}

const CRASHING_FINGERPRINT = "deadbeef".repeat(3);
const WORK_BEGINS_MS = 600;
const WORK_ENDS_MS = 5_500;
const SUBMISSION_INTERVAL_MS = 600;
const MESSAGE_DELAY_MS = 2;
/** Harmless calls are slow, so that many of them are running when a target crashes. */
const MAX_PART_DELAY_MS = 120;

const PLAN: SitePlan = {
  ...SMALL_SITE,
  agents: Array.from({ length: 8 }, (_, index) => ({
    target: `plain${index + 1}`,
    pool: "plain",
  })).concat({ target: "engine1", pool: "engine" }),
  targetsFail: false,
  callersWait: true,
  room: 50,
};

export function measureCrashingRequest(
  options: CrashingRequestOptions,
): CrashingRequestFigures {
  const world = new World(options.seed, PLAN);
  const site = new Site(world);
  const { queue, random } = world;
  world.maxPartDelayMs = MAX_PART_DELAY_MS;
  queue.setFaults({
    minDelayMs: MESSAGE_DELAY_MS,
    maxDelayMs: MESSAGE_DELAY_MS,
  });
  for (let index = 0; index < options.calls; index++) {
    const atMs = random.int(WORK_BEGINS_MS, WORK_ENDS_MS);
    queue.runAt(
      atMs,
      () => random.pick(site.callers).submit(drawCall(world, site)),
    );
  }
  const idempotent = random.chance(0.5);
  const crashingCalls: PlannedCall[] = [];
  for (let index = 0; index < options.submissions; index++) {
    queue.runAt(WORK_BEGINS_MS + 100 + index * SUBMISSION_INTERVAL_MS, () => {
      const call = createCrashingCall(world, { site, idempotent });
      crashingCalls.push(call);
      site.callers[0]?.submit(call);
    });
  }
  queue.runUntilQuiet({ limitMs: RUN_END_MS });
  site.checkEnd();
  const submissions = site.callers[0]?.listSubmissions() ?? [];
  const lastOperation = crashingCalls.at(-1)?.operation;
  const last = submissions.find(({ operation }) => operation === lastOperation);
  const harmlessFingerprints = [...world.quarantined].filter((name) =>
    name !== CRASHING_FINGERPRINT
  );
  return {
    targetsLost: world.faults["targetCrashed"] ?? 0,
    isCrashingRequestQuarantined: world.quarantined.has(CRASHING_FINGERPRINT),
    harmlessRequestsQuarantined: harmlessFingerprints.length,
    lastOutcome: last?.outcome,
    violations: world.violations,
  };
}

/** Creates the same crashing call each time, under a new key. */
function createCrashingCall(
  world: World,
  options: { readonly site: Site; readonly idempotent: boolean },
): PlannedCall {
  const call = drawCall(world, options.site);
  const operation = {
    ...call.operation,
    pool: "plain",
    idempotent: options.idempotent,
    fingerprint: CRASHING_FINGERPRINT,
    crashesTarget: true,
  };
  world.operations.set(operation.id, operation);
  return { operation, key: call.key };
}
