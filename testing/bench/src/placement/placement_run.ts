/** One trace of requests placed by one policy. */

import { MessageQueue } from "@dandelionbank/message-queue";
import type { Random } from "@dandelionbank/message-queue";
import {
  createPlacementState,
  stepPlacement,
} from "@dandelionbank/pick-target";
import type {
  PlacementCoreState,
  PlacementEffect,
} from "@dandelionbank/pick-target";
import {
  ENGINE_CAPACITY,
  EngineModel,
  MEAN_OUTPUT_TOKENS,
  MEAN_PROMPT_TOKENS,
} from "./engine_model.ts";

const REPORT_LAG_MS = 1_000;
const REFUSED_FOR_MS = 100;
const PREFIXES_PER_ENGINE = 10;
const TRIES = 2;
const MISSING_SHARE = 0.03;
const FIRST_TOKEN_OBJECTIVE_MS = 1_100;
const BETWEEN_TOKENS_OBJECTIVE_MS = 72;

export interface PlacementSetup {
  readonly engines: number;
  readonly entries: number;
  /** Arrivals as a share of what the engines can end. */
  readonly load: number;
  readonly durationMs: number;
  /** Requests that arrive before aren't counted. */
  readonly warmUpMs: number;
  readonly seed: number;
}

export interface PlacementVariant {
  readonly name: string;
  readonly policy: string;
  readonly affinity: boolean;
  /** Goes by the late reports alone. */
  readonly reportsOnly?: boolean;
}

export interface PlacementResult {
  readonly firstTokenP99Ms: number;
  readonly betweenTokensP99Ms: number;
  /** Requests within both objectives, of those that could have been served. */
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
  const firstTokens: number[] = [];
  const gaps: number[] = [];
  let arrived = 0;
  let refused = 0;
  let good = 0;

  function arrive(): void {
    const nowMs = queue.nowMs;
    const isCounted = nowMs >= setup.warmUpMs;
    const entry = entries[random.int(0, entries.length - 1)]!;
    const request = {
      arrivedAtMs: nowMs,
      promptTokens: drawHeavy(random, MEAN_PROMPT_TOKENS),
      outputTokens: drawHeavy(random, MEAN_OUTPUT_TOKENS),
      prefix: drawSkewed(random, engineCount * PREFIXES_PER_ENGINE),
      tokens: 0,
      firstTokenAtMs: 0,
    };
    if (isCounted) arrived += 1;
    const isTaken = entry.place(request, {
      nowMs,
      onEnd: (endedAtMs) => isCounted && note(request, endedAtMs),
    });
    if (!isTaken && isCounted) refused += 1;
  }

  function note(
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
    firstTokens.push(firstMs);
    gaps.push(gapMs);
    const isGood = firstMs <= FIRST_TOKEN_OBJECTIVE_MS &&
      gapMs <= BETWEEN_TOKENS_OBJECTIVE_MS;
    if (isGood) good += 1;
  }

  const arrivals = createArrivals(setup);
  for (const atMs of arrivals) queue.runAt(atMs, arrive);
  queue.runUntilQuiet({ limitMs: setup.durationMs * 3 });
  const possible = arrived / Math.max(1, setup.load);
  return {
    firstTokenP99Ms: percentile99(firstTokens),
    betweenTokensP99Ms: percentile99(gaps),
    goodputPercent: Math.round(good * 10_000 / possible) / 100,
    refusedPercent: Math.round(refused * 10_000 / arrived) / 100,
  };
}

/** The same for all variants, whatever they draw themselves. */
function createArrivals(
  { engines, load, seed, durationMs }: PlacementSetup,
): number[] {
  const random = MessageQueue.create<never>({ seed: seed + 1 }).random;
  const perMs = engines * ENGINE_CAPACITY * load / 1_000;
  const times: number[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    atMs += -Math.log(1 - drawUnit(random)) / perMs;
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

type NewRequest = Omit<Parameters<EngineModel["offer"]>[0], "onEnd">;

class PlacementEntry {
  readonly #engines: ReadonlyMap<string, EngineModel>;
  readonly #variant: PlacementVariant;
  readonly #state: PlacementCoreState;
  readonly #reported = new Map<string, number>();
  readonly #random = MessageQueue.create<never>({ seed: 7 }).random;
  #attempts = 0;

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
      random: () => drawUnit(random),
      hash: hashText,
      policy: variant.policy,
    });
    const targets = [...engines.keys()]
      .filter(() => !random.chance(MISSING_SHARE))
      .map((name) => ({ name, pool: "p", state: "open" }) as const);
    for (const { name } of targets) this.#reported.set(name, 0);
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
    for (let tried = 0; tried < TRIES; tried++) {
      const attemptId = `x${this.#attempts++}`;
      const target = this.#pick(attemptId, { request, exclude, nowMs });
      if (target === undefined) return false;
      const engine = this.#engines.get(target)!;
      const reply = (atMs: number, refusedForMs?: number) => {
        const inFlight = engine.loadBefore(REPORT_LAG_MS, atMs);
        this.#reported.set(target, inFlight);
        if (this.#variant.reportsOnly) return;
        const load = { inFlight, queued: 0, cachedTokens: 0 };
        stepPlacement(this.#state, {
          type: "targetReplied",
          attemptId,
          load,
          ...(refusedForMs === undefined ? {} : { refusedForMs }),
        }, atMs);
      };
      const isTaken = engine.offer(
        Object.assign(request, {
          onEnd: (atMs: number) => {
            reply(atMs);
            onEnd(atMs);
          },
        }),
        nowMs,
      );
      if (isTaken) return true;
      reply(nowMs, REFUSED_FOR_MS);
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
    if (this.#variant.reportsOnly) return this.#leastReported(exclude);
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

  #leastReported(exclude: readonly string[]): string | undefined {
    let best: string[] = [];
    let least = Infinity;
    for (const [name, load] of this.#reported) {
      if (load > least || exclude.includes(name)) continue;
      if (load < least) best = [];
      least = load;
      best.push(name);
    }
    return best.length === 0 ? undefined : this.#random.pick(best);
  }
}

/** A heavy tail: most are short, few are many times the mean. */
function drawHeavy(random: Random, mean: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - drawUnit(random))) *
    Math.cos(2 * Math.PI * drawUnit(random));
  return Math.max(2, Math.round(mean * Math.exp(0.8 * normal - 0.32)));
}

/** Low numbers are much more frequent than high ones. */
function drawSkewed(random: Random, count: number): number {
  return Math.floor(count * drawUnit(random) ** 2.5);
}

function drawUnit(random: Random): number {
  return random.int(0, 999_999_999) / 1_000_000_000;
}

function percentile99(values: readonly number[]): number {
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
