/**
 * Which coordinator an entry turns to for one organisation: the first of the
 * entries that share the limits, unless it has been silent, or another one
 * called for offers. Entries may differ about it; that costs them part of what
 * could be lent, and never more than the limits.
 */

import { COORDINATOR_AVOIDED_MS, COORDINATOR_TIMEOUT_MS } from "./timing.ts";

const FOLLOW_MS = 3_000;

interface NameForTime {
  readonly name: string;
  readonly untilMs: number;
}

export class CoordinatorChoice {
  readonly #avoidedUntilMs = new Map<string, number>();
  #followed: NameForTime | undefined;
  #answered: NameForTime | undefined;
  #waiting: { readonly name: string; readonly sinceMs: number } | undefined;

  private constructor() {}

  static create(): CoordinatorChoice {
    return new CoordinatorChoice();
  }

  choose(entries: readonly string[], nowMs: number): string | undefined {
    this.#avoidSilent(nowMs);
    if (this.#followed !== undefined && nowMs < this.#followed.untilMs) {
      if (!this.#isAvoided(this.#followed.name, nowMs)) {
        return this.#followed.name;
      }
    }
    return entries.find((name) => !this.#isAvoided(name, nowMs)) ?? entries[0];
  }

  noteAsked(name: string, nowMs: number): void {
    if (this.#waiting?.name === name) return;
    this.#waiting = { name, sinceMs: nowMs };
  }

  noteAnswered(name: string, nowMs: number): void {
    this.#answered = { name, untilMs: nowMs + COORDINATOR_TIMEOUT_MS };
    if (this.#waiting?.name === name) this.#waiting = undefined;
    this.#avoidedUntilMs.delete(name);
  }

  /**
   * Follows a listed coordinator that calls for offers, for a while, unless
   * one that comes before it has answered lately: two coordinators that go on
   * side by side would each have only part of the offers.
   */
  noteCalled(
    name: string,
    { entries, nowMs }: {
      readonly entries: readonly string[];
      readonly nowMs: number;
    },
  ): void {
    const rank = entries.indexOf(name);
    if (rank < 0) return;
    this.#avoidedUntilMs.delete(name);
    const isPreceded = [this.#followed, this.#answered].some((other) =>
      other !== undefined && nowMs < other.untilMs &&
      entries.includes(other.name) && entries.indexOf(other.name) < rank
    );
    if (!isPreceded) this.#followed = { name, untilMs: nowMs + FOLLOW_MS };
  }

  #avoidSilent(nowMs: number): void {
    const waiting = this.#waiting;
    if (waiting === undefined) return;
    if (nowMs < waiting.sinceMs + COORDINATOR_TIMEOUT_MS) return;
    this.#avoidedUntilMs.set(waiting.name, nowMs + COORDINATOR_AVOIDED_MS);
    this.#waiting = undefined;
  }

  #isAvoided(name: string, nowMs: number): boolean {
    return nowMs < (this.#avoidedUntilMs.get(name) ?? -Infinity);
  }
}
