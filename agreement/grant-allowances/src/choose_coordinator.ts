/**
 * Which coordinator an entry turns to for one organisation: the first of the
 * entries that share the limits, unless it has been silent, or another one
 * called for offers. Entries may differ about it; that costs them part of what
 * could be lent, and never more than the limits.
 */

import { COORDINATOR_AVOIDED_MS, COORDINATOR_TIMEOUT_MS } from "./timing.ts";

const FOLLOW_MS = 3_000;

export class CoordinatorChoice {
  readonly #avoidedUntilMs = new Map<string, number>();
  #followed: { readonly name: string; readonly untilMs: number } | undefined;
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

  noteAnswered(
    name: string,
    { contended, nowMs }: {
      readonly contended: boolean;
      readonly nowMs: number;
    },
  ): void {
    if (this.#waiting?.name === name) this.#waiting = undefined;
    this.#avoidedUntilMs.delete(name);
    if (this.#followed?.name !== name || !contended) return;
    this.#followed = { name, untilMs: nowMs + FOLLOW_MS };
  }

  /** Follows whoever calls for offers, if it comes no later in the order. */
  noteCalled(
    name: string,
    { entries, nowMs }: {
      readonly entries: readonly string[];
      readonly nowMs: number;
    },
  ): void {
    this.#avoidedUntilMs.delete(name);
    const followed = this.#followed;
    if (followed !== undefined && nowMs < followed.untilMs) {
      if (entries.indexOf(followed.name) < entries.indexOf(name)) return;
    }
    this.#followed = { name, untilMs: nowMs + FOLLOW_MS };
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
