/**
 * Runs the ranks in lockstep: a step takes as long as its slowest rank, and does
 * not begin while a rank holds it or is stalled. In each step, all ranks must use
 * the same expert map; a step where they do not is recorded as a violation.
 */

import type { RunningStandin } from "@dandelionbank/standin-common";
import { Rank } from "./rank.ts";
import { GROUP_SETTINGS, type GroupSettings } from "./settings.ts";

/** Interval at which a blocked step is retried. */
const BLOCKED_RETRY_MS = 1;

export interface GroupOptions {
  readonly listen?: string;
  readonly settings?: Partial<GroupSettings>;
}

/** A step in which the ranks used different expert maps. */
export interface MapViolation {
  readonly step: number;
  readonly mapVersions: readonly number[];
}

export interface GroupReport {
  readonly violations: readonly MapViolation[];
  readonly steps: number;
  /** Total time in which no step ran because a rank held the next one or was stalled. */
  readonly blockedMs: number;
}

/** Starts the stand-in in the current process. */
export async function startGroup(
  options: GroupOptions = {},
): Promise<StandinGroup> {
  const group = new StandinGroup();
  await group.start(options);
  return group;
}

export class StandinGroup implements RunningStandin {
  readonly #violations: MapViolation[] = [];
  #ranks: readonly Rank[] = [];
  #timer: NodeJS.Timeout | undefined;
  #step = 0;
  #blockedMs = 0;
  #stepEndedAtMs = performance.now();

  async start(options: GroupOptions): Promise<void> {
    const settings = { ...GROUP_SETTINGS, ...options.settings };
    const [host, port] = (options.listen ?? "127.0.0.1:0").split(":");
    this.#ranks = await Promise.all(
      Array.from({ length: settings.ranks }, (_, rank) =>
        Rank.start({
          listen: `${host}:${port === "0" ? 0 : Number(port) + rank}`,
          settings,
          getCurrentStep: () => this.#step,
          reportGroup: () => this.report(),
        })),
    );
    this.#beginStep();
  }

  get listening(): readonly string[] {
    return this.#ranks.map((rank) => rank.url);
  }

  get ranks(): readonly Rank[] {
    return this.#ranks;
  }

  report(): GroupReport {
    return {
      violations: this.#violations,
      steps: this.#step,
      blockedMs: this.#blockedMs,
    };
  }

  async close(): Promise<void> {
    clearTimeout(this.#timer);
    await Promise.all(this.#ranks.map((rank) => rank.close()));
  }

  #beginStep(): void {
    const step = this.#step + 1;
    const startedAtMs = performance.now();
    if (this.#ranks.some((rank) => rank.blocksStep(step))) {
      return this.#schedule(BLOCKED_RETRY_MS, () => this.#beginStep());
    }
    this.#blockedMs += startedAtMs - this.#stepEndedAtMs;
    this.#step = step;
    this.#checkMaps(this.#ranks.map((rank) => rank.beginStep(step)));
    const slowestMs = Math.max(...this.#ranks.map((rank) => rank.stepTimeMs));
    this.#schedule(slowestMs, () => this.#endStep());
  }

  #endStep(): void {
    for (const rank of this.#ranks) rank.endStep();
    this.#stepEndedAtMs = performance.now();
    this.#beginStep();
  }

  #checkMaps(mapVersions: readonly number[]): void {
    if (new Set(mapVersions).size === 1) return;
    this.#violations.push({ step: this.#step, mapVersions });
  }

  #schedule(delayMs: number, action: () => void): void {
    this.#timer = setTimeout(action, delayMs);
  }
}
