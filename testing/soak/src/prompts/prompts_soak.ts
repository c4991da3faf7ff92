/**
 * Randomised runs of entries that look for prompt parts that crash targets, with
 * and without such a part, in groups and with targets that run by themselves.
 * Targets fail for other reasons too, and reports between entries are lost.
 */

import { Random } from "@dandelionbank/message-queue";
import { count, createRunTally, type RunTally } from "../run_tally.ts";
import type { RunReport, Soak } from "../soak.ts";
import {
  CRASHING_PART,
  type PromptsPlan,
  PromptsWorld,
} from "./prompts_world.ts";

const DURATION_MS = 60_000;
/** Crashes after which requests with the part have to be refused. */
const TOLERATED_CRASHES = 5;
/** Time after the last of them in which all entries know the part. */
const REACTION_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;

/** Time after the last crash that counts from which sound requests are served. */
const RECOVERY_MS = 2 * REACTION_MS;
const MIN_SERVED_RATIO = 0.5;
/** Time of undisturbed service after which every part of the sound prompts is known. */
const KNOWN_AFTER_MS = 5_000;

/** The first draws of generators with consecutive seeds are alike. */
const DISCARDED_DRAWS = 20;

export const PROMPTS_SOAK: Soak = { name: "prompts", run: runPrompts };

function runPrompts(seed: number): RunReport {
  const report = createRunTally();
  const random = Random.create(seed);
  for (let index = 0; index < DISCARDED_DRAWS; index++) random.int(0, 1);
  const plan = drawPlan(random);
  const world = PromptsWorld.create(plan, random);
  world.run(DURATION_MS);
  checkArrivals(world, report);
  checkSoundRequests(world, report);
  if (plan.warmUpMs >= KNOWN_AFTER_MS) checkSoundParts(world, report);
  count(report.faults, "crashesByPrompt", world.crashesMs.length);
  count(report.faults, "otherFailures", world.otherFailures);
  count(report.faults, "lostReports", world.lostReports);
  count(report.outcomes, "answered", world.answered);
  return report;
}

function drawPlan(random: Random): PromptsPlan {
  const hasCrashingPart = random.chance(0.7);
  return {
    entries: random.int(1, 6),
    targets: random.int(4, 16),
    soundPerS: random.int(20, 100),
    crashingPerS: hasCrashingPart ? random.int(4, 60) / 20 : 0,
    isGroup: random.chance(0.5),
    otherFailuresPerS: random.int(0, hasCrashingPart ? 2 : 10) / 10,
    warmUpMs: random.pick([0, 500, 5_000]),
    reportLoss: random.int(0, 3) / 10,
  };
}

function checkArrivals(
  { crashesMs, crashingArrivalsMs }: PromptsWorld,
  report: RunTally,
): void {
  const fifthMs = crashesMs[TOLERATED_CRASHES - 1];
  if (fifthMs === undefined) return;
  count(report.invariants, "crashingPromptsRefused");
  const late = crashingArrivalsMs.filter((atMs) =>
    atMs > fifthMs + REACTION_MS
  );
  if (late.length <= MAX_LATE_ARRIVALS) return;
  report.violations.push(
    `${late.length} requests with the part reached targets later than ${REACTION_MS} ms after ${TOLERATED_CRASHES} crashes`,
  );
}

function checkSoundRequests(
  { crashesMs, soundSentMs, soundRefusedMs }: PromptsWorld,
  report: RunTally,
): void {
  const lastMs = crashesMs[TOLERATED_CRASHES - 1] ?? crashesMs.at(-1) ?? 0;
  const isMeasured = (atMs: number) => atMs >= lastMs + RECOVERY_MS;
  const sent = soundSentMs.filter(isMeasured).length;
  const refused = soundRefusedMs.filter(isMeasured).length;
  count(report.invariants, "soundPromptsServed");
  if (sent - refused >= sent * MIN_SERVED_RATIO) return;
  report.violations.push(`${refused} of ${sent} sound requests were refused`);
}

function checkSoundParts(
  { quarantined }: PromptsWorld,
  report: RunTally,
): void {
  count(report.invariants, "knownPartsServed");
  for (const part of quarantined) {
    if (part === CRASHING_PART) continue;
    report.violations.push(`the sound part ${part} was refused`);
  }
}
