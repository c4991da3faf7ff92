/** Callers that check every answer, and afterwards who ran what. */

import {
  call,
  type CallAnswer,
  CALLER_KEY,
  type EntryProgram,
} from "@dandelionbank/run-entry";
import type { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { setTimeout as delay } from "node:timers/promises";
import type { EngineFleet } from "./engine_fleet.ts";
import { REVOKED_KEY } from "./operator.ts";

/** From the loss of a key to the last run with it, as the settings say. */
const REVOCATION_MS = 2_000;
const MAX_PAUSE_MS = 30;
/** Answers that promise that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const DENIED: ReadonlySet<number> = new Set([400, 401, 403, 404]);

interface SentCall {
  readonly id: string;
  readonly isOnce: boolean;
  readonly key: string;
  readonly status: number | undefined;
}

export class CheckedCallers {
  readonly #nodes: readonly EntryProgram[];
  readonly #random: Random;
  readonly #sent: SentCall[] = [];
  readonly violations: string[] = [];
  #isStopped = false;

  private constructor(nodes: readonly EntryProgram[], random: Random) {
    this.#nodes = nodes;
    this.#random = random;
  }

  static create(
    nodes: readonly EntryProgram[],
    random: Random,
  ): CheckedCallers {
    return new CheckedCallers(nodes, random);
  }

  get callCount(): number {
    return this.#sent.length;
  }

  get servedCount(): number {
    return this.#sent.filter(({ status }) => status === 200).length;
  }

  /** Calls one after another, until `stop`. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const key = this.#random.chance(0.15) ? REVOKED_KEY : CALLER_KEY;
      await this.callOnce({ isOnce: this.#random.chance(0.5), key });
      await delay(this.#random.int(0, MAX_PAUSE_MS));
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** The status; undefined without an answer. */
  async callOnce(
    { isOnce, key = CALLER_KEY }: {
      readonly isOnce: boolean;
      readonly key?: string;
    },
  ): Promise<number | undefined> {
    const id = `soak-${this.#sent.length}-${this.#random.int(0, 1e9)}`;
    const node = this.#random.pick(this.#nodes);
    const answer = await this.#send(node, { id, isOnce, key });
    const status = answer?.status;
    this.#sent.push({ id, isOnce, key, status });
    if (answer !== undefined) this.#checkAnswer(answer, { id, key });
    return status;
  }

  async #send(
    node: EntryProgram,
    { id, isOnce, key }: Omit<SentCall, "status">,
  ): Promise<CallAnswer | undefined> {
    try {
      return await call(node, {
        path: isOnce ? "/once/a" : "/safe/a",
        body: id,
        key,
        headers: { [HEADERS.attemptId]: id },
      });
    } catch {
      // The process was killed, or is not there; that promises nothing.
      return undefined;
    }
  }

  #checkAnswer(
    { status, body, headers, isComplete }: CallAnswer,
    { id, key }: { readonly id: string; readonly key: string },
  ): void {
    const seal = String(headers[HEADERS.answerSeal] ?? "");
    const isOwn = isComplete && body === `whole answer ${id}` &&
      seal.startsWith("seal-");
    // A killed entry leaves an answer that does not look whole.
    if (status === 200 && isComplete && !isOwn) {
      this.violations.push(`${id}: a success that is not its own: ${body}`);
    }
    if (DENIED.has(status) && key === CALLER_KEY) {
      this.violations.push(`${id}: denied with ${status}`);
    }
  }

  /** What only shows once everything has come to rest. */
  checkRuns(
    { runs }: EngineFleet,
    { revokedAtMs }: { readonly revokedAtMs: number | undefined },
  ): void {
    for (const { id, isOnce, key, status } of this.#sent) {
      const times = runs.get(id) ?? [];
      if (isOnce && times.length > 1) {
        this.violations.push(`${id}: ran ${times.length} times`);
      }
      if (isOnce && NOT_RUN.has(status ?? 0) && times.length > 0) {
        this.violations.push(`${id}: answered ${status}, and ran`);
      }
      const lastMs = Math.max(0, ...times);
      if (key !== REVOKED_KEY || revokedAtMs === undefined) continue;
      const afterMs = Math.round(lastMs - revokedAtMs);
      if (afterMs > REVOCATION_MS) {
        this.violations.push(`${id}: ran ${afterMs} ms after its key went`);
      }
    }
  }
}
