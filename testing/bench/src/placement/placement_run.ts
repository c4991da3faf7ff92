/**
 * Simulates entries that place a trace of requests on engines under one policy,
 * in virtual time.
 */

import { MessageQueue } from "@dandelionbank/message-queue";
import type { Random } from "@dandelionbank/message-queue";
import {
  createPlacementState,
  stepPlacement,
} from "@dandelionbank/pick-target";
import type {
  PlacementEffect,
  PlacementState,
} from "@dandelionbank/pick-target";
import {
  ENGINE_CAPACITY,
  EngineModel,
  MEAN_OUTPUT_TOKENS,
  MEAN_PROMPT_TOKENS,
} from "./engine_model.ts";

const REPORT_LAG_MS = 1_000;
const REFUSAL_BACKOFF_MS = 100;
const PREFIXES_PER_ENGINE = 10;
const MAX_ATTEMPTS = 2;
/** Fraction of the engines that are missing from each entry's list of targets. */
const UNKNOWN_ENGINE_RATIO = 0.03;
const FIRST_TOKEN_OBJECTIVE_MS = 1_100;
const BETWEEN_TOKENS_OBJECTIVE_MS = 72;

export interface PlacementSetup {
  readonly engines: number;
  readonly entries: number;
  /** Arrival rate as a fraction of the capacity of all engines. */
  readonly load: number;
  readonly durationMs: number;
  /** Requests that arrive before this time are not counted. */
  readonly warmUpMs: number;
  readonly seed: number;
}

export interface PlacementVariant {
  readonly name: string;
  readonly policy: string;
  /** Whether requests with the same prompt prefix prefer the same engine. */
  readonly affinity: boolean;
  /** Uses only the delayed load reports. */
  readonly reportsOnly?: boolean;
}

export interface PlacementResult {
  readonly firstTokenP99Ms: number;
  readonly betweenTokensP99Ms: number;
  /** Requests within both objectives, relative to those that capacity allows. */
  readonly goodputPercent: number;
  readonly refusedPercent: number;
}

export function runPlacement(
  setup: PlacementSetup,
  variant: PlacementVariant,
): PlacementResult {
  const { seed, engines: engineCount } = setup;
  const queue = MessageQueue.create<never>({ seed });
  const random = queue.random;
  const engines = new Map<string, EngineModel>();
  for (let i = 0; i < engineCount; i++) {
    const model = new EngineModel((atMs, run) => queue.runAt(atMs, run));
    engines.set(`engine-${i}`, model);
  }
  const entries = Array.from(
    { length: setup.entries },
    (_, index) => createEntry(index, { variant, engines }),
  );
  const firstTokensMs: number[] = [];
  const tokenGapsMs: number[] = [];
  let arrivedCount = 0;
  let refusedCount = 0;
  let goodCount = 0;

  function placeNewRequest(): void {
    const nowMs = queue.nowMs;
    const isCounted = nowMs >= setup.warmUpMs;
    const entry = entries[random.int(0, entries.length - 1)]!;
    const request = {
      arrivedAtMs: nowMs,
      promptTokens: drawLogNormal(random, MEAN_PROMPT_TOKENS),
      outputTokens: drawLogNormal(random, MEAN_OUTPUT_TOKENS),
      prefix: drawSkewedIndex(random, engineCount * PREFIXES_PER_ENGINE),
      tokens: 0,
      firstTokenAtMs: 0,
    };
    if (isCounted) arrivedCount += 1;
    const isAccepted = entry.place(request, {
      nowMs,
      onEnd: (endedAtMs) => isCounted && recordAnswer(request, endedAtMs),
    });
    if (!isAccepted && isCounted) refusedCount += 1;
  }

  function recordAnswer(
    request: {
      readonly arrivedAtMs: number;
      readonly firstTokenAtMs: number;
      readonly outputTokens: number;
    },
    endedAtMs: number,
  ): void {
    const firstMs = request.firstTokenAtMs - request.arrivedAtMs;
    const gapMs = (endedAtMs - request.firstTokenAtMs) /
      Math.max(1, request.outputTokens - 1);
    firstTokensMs.push(firstMs);
    tokenGapsMs.push(gapMs);
    const isWithinObjectives = firstMs <= FIRST_TOKEN_OBJECTIVE_MS &&
      gapMs <= BETWEEN_TOKENS_OBJECTIVE_MS;
    if (isWithinObjectives) goodCount += 1;
  }

  const arrivals = createArrivals(setup);
  for (const atMs of arrivals) queue.runAt(atMs, placeNewRequest);
  queue.runUntilQuiet({ limitMs: setup.durationMs * 3 });
  const servableCount = arrivedCount / Math.max(1, setup.load);
  return {
    firstTokenP99Ms: computeP99(firstTokensMs),
    betweenTokensP99Ms: computeP99(tokenGapsMs),
    goodputPercent: Math.round(goodCount * 10_000 / servableCount) / 100,
    refusedPercent: Math.round(refusedCount * 10_000 / arrivedCount) / 100,
  };
}

/** Draws from a generator of its own, so that all variants get the same arrivals. */
function createArrivals(
  { engines, load, seed, durationMs }: PlacementSetup,
): number[] {
  const random = MessageQueue.create<never>({ seed: seed + 1 }).random;
  const arrivalsPerMs = engines * ENGINE_CAPACITY * load / 1_000;
  const times: number[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    atMs += -Math.log(1 - drawUniform(random)) / arrivalsPerMs;
    times.push(atMs);
  }
  return times;
}

function createEntry(
  index: number,
  { variant, engines }: {
    readonly variant: PlacementVariant;
    readonly engines: ReadonlyMap<string, EngineModel>;
  },
): PlacementEntry {
  return new PlacementEntry(index, variant, engines);
}

type NewRequest = Omit<Parameters<EngineModel["tryEnqueue"]>[0], "onEnd">;

class PlacementEntry {
  readonly #engines: ReadonlyMap<string, EngineModel>;
  readonly #variant: PlacementVariant;
  readonly #state: PlacementState;
  readonly #reportedLoads = new Map<string, number>();
  readonly #random = MessageQueue.create<never>({ seed: 7 }).random;
  #attemptCount = 0;

  constructor(
    index: number,
    variant: PlacementVariant,
    engines: ReadonlyMap<string, EngineModel>,
  ) {
    const random = MessageQueue.create<never>({ seed: 100 + index }).random;
    this.#engines = engines;
    this.#variant = variant;
    this.#state = createPlacementState({
      entry: `entry-${index}`,
      random: () => drawUniform(random),
      hash: hashText,
      policy: variant.policy,
    });
    const targets = [...engines.keys()]
      .filter(() => !random.chance(UNKNOWN_ENGINE_RATIO))
      .map((name) => ({ name, pool: "p", state: "open" }) as const);
    for (const { name } of targets) this.#reportedLoads.set(name, 0);
    stepPlacement(this.#state, { type: "targetsChanged", targets }, 0);
  }

  place(
    request: NewRequest,
    { nowMs, onEnd }: {
      readonly nowMs: number;
      readonly onEnd: (nowMs: number) => void;
    },
  ): boolean {
    const exclude: string[] = [];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const attemptId = `x${this.#attemptCount++}`;
      const target = this.#pick(attemptId, { request, exclude, nowMs });
      if (target === undefined) return false;
      const engine = this.#engines.get(target)!;
      const reportReply = (atMs: number, refusedForMs?: number) => {
        const inFlight = engine.getDelayedLoad(REPORT_LAG_MS, atMs);
        this.#reportedLoads.set(target, inFlight);
        if (this.#variant.reportsOnly) return;
        const load = { inFlight, queued: 0, cachedTokens: 0 };
        stepPlacement(this.#state, {
          type: "targetReplied",
          attemptId,
          load,
          ...(refusedForMs === undefined ? {} : { refusedForMs }),
        }, atMs);
      };
      const isAccepted = engine.tryEnqueue(
        Object.assign(request, {
          onEnd: (atMs: number) => {
            reportReply(atMs);
            onEnd(atMs);
          },
        }),
        nowMs,
      );
      if (isAccepted) return true;
      reportReply(nowMs, REFUSAL_BACKOFF_MS);
      exclude.push(target);
    }
    return false;
  }

  #pick(
    attemptId: string,
    { request, exclude, nowMs }: {
      readonly request: NewRequest;
      readonly exclude: readonly string[];
      readonly nowMs: number;
    },
  ): string | undefined {
    if (this.#variant.reportsOnly) return this.#pickLeastReported(exclude);
    const [effect]: readonly (PlacementEffect | undefined)[] = stepPlacement(
      this.#state,
      {
        type: "pickRequested",
        attemptId,
        pool: "p",
        exclude,
        ...(this.#variant.affinity
          ? { prefixHash: hashText(`prefix-${request.prefix}`) }
          : {}),
      },
      nowMs,
    ).effects;
    return effect?.type === "picked" ? effect.target : undefined;
  }

  #pickLeastReported(exclude: readonly string[]): string | undefined {
    let candidates: string[] = [];
    let least = Infinity;
    for (const [name, load] of this.#reportedLoads) {
      if (load > least || exclude.includes(name)) continue;
      if (load < least) candidates = [];
      least = load;
      candidates.push(name);
    }
    return candidates.length === 0 ? undefined : this.#random.pick(candidates);
  }
}

/**
 * Draws from a log-normal distribution, in which most values are small and a few
 * very large. Its sigma is 0.8; 0.32 is half its square, which keeps the mean.
 */
function drawLogNormal(random: Random, mean: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - drawUniform(random))) *
    Math.cos(2 * Math.PI * drawUniform(random));
  return Math.max(2, Math.round(mean * Math.exp(0.8 * normal - 0.32)));
}

/** Draws an index below `count`; low indexes are much more frequent. */
function drawSkewedIndex(random: Random, count: number): number {
  return Math.floor(count * drawUniform(random) ** 2.5);
}

function drawUniform(random: Random): number {
  return random.int(0, 999_999_999) / 1_000_000_000;
}

function computeP99(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const at = Math.ceil(sorted.length * 0.99) - 1;
  return Math.round((sorted[at] ?? 0) * 10) / 10;
}

function hashText(text: string): number {
  let value = 2166136261;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 16777619);
  }
  return value >>> 0;
}
