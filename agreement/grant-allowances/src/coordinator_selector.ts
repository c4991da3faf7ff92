/**
 * Selects the coordinator that an entry asks for shares of one organisation's
 * limits: the first of the entries that share the limits, unless it did not
 * answer or another one called for offers. Entries may select different
 * coordinators; then less can be lent, but the limits are never exceeded.
 */

import { COORDINATOR_AVOIDED_MS, COORDINATOR_TIMEOUT_MS } from "./timing.ts";

/** Time for which a coordinator that called for offers is followed. */
const FOLLOW_DURATION_MS = 3_000;

interface ExpiringName {
  readonly name: string;
  readonly untilMs: number;
}

export class CoordinatorSelector {
  readonly #avoidedUntilMs = new Map<string, number>();
  #followed: ExpiringName | undefined;
  #answered: ExpiringName | undefined;
  #unanswered: { readonly name: string; readonly sinceMs: number } | undefined;

  private constructor() {}

  static create(): CoordinatorSelector {
    return new CoordinatorSelector();
  }

  select(entries: readonly string[], nowMs: number): string | undefined {
    this.#avoidUnresponsive(nowMs);
    if (this.#followed !== undefined && nowMs < this.#followed.untilMs) {
      if (!this.#isAvoided(this.#followed.name, nowMs)) {
        return this.#followed.name;
      }
    }
    return entries.find((name) => !this.#isAvoided(name, nowMs)) ?? entries[0];
  }

  recordAsk(name: string, nowMs: number): void {
    if (this.#unanswered?.name === name) return;
    this.#unanswered = { name, sinceMs: nowMs };
  }

  recordAnswer(name: string, nowMs: number): void {
    this.#answered = { name, untilMs: nowMs + COORDINATOR_TIMEOUT_MS };
    if (this.#unanswered?.name === name) this.#unanswered = undefined;
    this.#avoidedUntilMs.delete(name);
  }

  /**
   * Follows a listed coordinator that calls for offers, for a limited time. It
   * is not followed if a coordinator earlier in the list is followed or has
   * answered recently: of two coordinators, each would get only part of the
   * offers.
   */
  recordOfferCall(
    name: string,
    { entries, nowMs }: {
      readonly entries: readonly string[];
      readonly nowMs: number;
    },
  ): void {
    const position = entries.indexOf(name);
    if (position < 0) return;
    this.#avoidedUntilMs.delete(name);
    const isPreceded = [this.#followed, this.#answered].some((other) =>
      other !== undefined && nowMs < other.untilMs &&
      entries.includes(other.name) && entries.indexOf(other.name) < position
    );
    if (!isPreceded) {
      this.#followed = { name, untilMs: nowMs + FOLLOW_DURATION_MS };
    }
  }

  #avoidUnresponsive(nowMs: number): void {
    const unanswered = this.#unanswered;
    if (unanswered === undefined) return;
    if (nowMs < unanswered.sinceMs + COORDINATOR_TIMEOUT_MS) return;
    this.#avoidedUntilMs.set(unanswered.name, nowMs + COORDINATOR_AVOIDED_MS);
    this.#unanswered = undefined;
  }

  #isAvoided(name: string, nowMs: number): boolean {
    return nowMs < (this.#avoidedUntilMs.get(name) ?? -Infinity);
  }
}
