/**
 * State of a run of the soak `requests` that no node sees: the operations that
 * the targets executed, the faults that were injected and the invariants that
 * were checked.
 */

import { MessageQueue, type Random } from "@dandelionbank/message-queue";
import type { Tally } from "../soak.ts";
import type { Message } from "./messages.ts";
import { type SitePlan, SMALL_SITE } from "./settings.ts";
import { StoreFake } from "./store_fake.ts";

/** A call as the caller means it, however often it is submitted. */
export interface Operation {
  readonly id: string;
  readonly organisation: string;
  readonly pool: string;
  readonly idempotent: boolean;
  /** ID of the request key; absent if the call has none. */
  readonly key: string | undefined;
  readonly fingerprint: string;
  readonly partCount: number;
  /** Whether the operation crashes every target that runs it. */
  readonly crashesTarget: boolean;
}

export const POOLS = ["plain", "engine"] as const;

export class World {
  readonly plan: SitePlan;
  readonly queue: MessageQueue<Message>;
  readonly store: StoreFake;
  readonly operations = new Map<string, Operation>();
  readonly faults: Tally = {};
  readonly outcomes: Tally = {};
  readonly invariants: Tally = {};
  readonly violations: string[] = [];
  /** Fingerprints that at least one entry has quarantined. */
  readonly quarantined = new Set<string>();
  /** Maximum time that a target takes for one part of an answer. */
  maxPartDelayMs = 30;
  /** Executions within each scope, in total and of each operation. */
  readonly #executions = new Map<string, number>();
  /** Executions under each key ID. */
  readonly #keyExecutions = new Map<string, number>();
  #lastIdNumber = 0;

  constructor(seed: number, plan: SitePlan = SMALL_SITE) {
    this.plan = plan;
    this.queue = MessageQueue.create({ seed });
    this.store = new StoreFake(this);
  }

  get random(): Random {
    return this.queue.random;
  }

  nextId(prefix: string): string {
    this.#lastIdNumber += 1;
    return `${prefix}${this.#lastIdNumber}`;
  }

  countFault(kind: string): void {
    this.faults[kind] = (this.faults[kind] ?? 0) + 1;
  }

  countOutcome(kind: string): void {
    this.outcomes[kind] = (this.outcomes[kind] ?? 0) + 1;
  }

  checkInvariant(
    invariant: string,
    result: { holds: boolean; detail: string },
  ): void {
    this.invariants[invariant] = (this.invariants[invariant] ?? 0) + 1;
    if (!result.holds) this.reportViolation(invariant, result.detail);
  }

  reportViolation(invariant: string, detail: string): void {
    this.violations.push(`${invariant} at ${this.queue.nowMs} ms: ${detail}`);
  }

  /**
   * Records the start of an operation at a target. The scope is the ID of its key,
   * or of the request if it has none. Returns the number of executions within it.
   */
  recordExecution(operation: Operation, scope: string): number {
    const count = (this.#executions.get(scope) ?? 0) + 1;
    this.#executions.set(scope, count);
    const scoped = `${scope}\n${operation.id}`;
    this.#executions.set(scoped, (this.#executions.get(scoped) ?? 0) + 1);
    if (operation.key !== undefined) {
      const keyed = (this.#keyExecutions.get(operation.key) ?? 0) + 1;
      this.#keyExecutions.set(operation.key, keyed);
    }
    if (!operation.idempotent) {
      this.checkInvariant("runsAtMostOnce", {
        holds: count <= 1,
        detail: `${operation.id} under ${scope} begun ${count} times`,
      });
    }
    return count;
  }

  /** Counts the executions of an operation within a scope. */
  countExecutions(operation: Operation, scope: string): number {
    return this.#executions.get(`${scope}\n${operation.id}`) ?? 0;
  }

  countExecutionsOfKey(key: string): number {
    return this.#keyExecutions.get(key) ?? 0;
  }
}

/** Creates the parts of an operation's answer for its n-th execution. */
export function createAnswerParts(
  operation: Operation,
  execution: number,
): readonly string[] {
  const run = operation.idempotent ? "any" : `run ${execution}`;
  return Array.from(
    { length: operation.partCount },
    (_, part) => `${operation.id} ${run} part ${part};`,
  );
}
