/** Callers that check every answer, and at the end which requests the engines ran. */

import {
  call,
  type CallAnswer,
  CALLER_KEY,
  type EntryProgram,
  ROUTE,
} from "@dandelionbank/run-entry";
import type { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { setTimeout as delay } from "node:timers/promises";
import type { EngineFleet } from "./engine_fleet.ts";
import { REVOKED_KEY } from "./operator.ts";

/** Maximum time between the revocation of a key and the first run with it, as configured. */
const MAX_REVOCATION_MS = 2_000;
/** Time in which a request that has begun to run may be repeated elsewhere. */
const MAX_REPEAT_MS = ROUTE["timeout_ms"];
const MAX_PAUSE_MS = 30;
/** Statuses that guarantee that the request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const DENIED_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404]);

/** Ids end with the name of the entry that was called. */
const ENTRY_SEPARATOR = "@";

/** Returns the name of the entry to which the call with this id was sent. */
export function readEntryName(id: string): string {
  return id.slice(id.lastIndexOf(ENTRY_SEPARATOR) + 1);
}

interface SentCall {
  readonly id: string;
  /** Whether the request may run at most once. */
  readonly isOnce: boolean;
  readonly key: string;
  /** Absent if no answer arrived. */
  readonly status: number | undefined;
}

export class CheckedCallers {
  readonly #entries: readonly EntryProgram[];
  readonly #random: Random;
  readonly #sent: SentCall[] = [];
  readonly violations: string[] = [];
  #isStopped = false;

  private constructor(entries: readonly EntryProgram[], random: Random) {
    this.#entries = entries;
    this.#random = random;
  }

  static create(
    entries: readonly EntryProgram[],
    random: Random,
  ): CheckedCallers {
    return new CheckedCallers(entries, random);
  }

  get callCount(): number {
    return this.#sent.length;
  }

  get servedCount(): number {
    return this.#sent.filter(({ status }) => status === 200).length;
  }

  /** Makes one call after another until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const key = this.#random.chance(0.15) ? REVOKED_KEY : CALLER_KEY;
      await this.callOnce({ isOnce: this.#random.chance(0.5), key });
      await delay(this.#random.int(0, MAX_PAUSE_MS));
    }
  }

  /** Waits for the first answer with status 200; `run` must have been called. */
  async waitUntilServed(): Promise<void> {
    while (this.servedCount === 0) await delay(MAX_PAUSE_MS);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Makes one call; returns the status, or undefined without an answer. */
  async callOnce(
    { isOnce, key = CALLER_KEY }: {
      readonly isOnce: boolean;
      readonly key?: string;
    },
  ): Promise<number | undefined> {
    const entry = this.#random.pick(this.#entries);
    const number = `${this.#sent.length}-${this.#random.int(0, 1e9)}`;
    const id = `soak-${number}${ENTRY_SEPARATOR}${entry.settings.name}`;
    const answer = await this.#send(entry, { id, isOnce, key });
    const status = answer?.status;
    this.#sent.push({ id, isOnce, key, status });
    if (answer !== undefined) this.#checkAnswer(answer, { id, key });
    return status;
  }

  async #send(
    entry: EntryProgram,
    { id, isOnce, key }: Omit<SentCall, "status">,
  ): Promise<CallAnswer | undefined> {
    try {
      return await call(entry, {
        path: isOnce ? "/once/a" : "/safe/a",
        body: id,
        key,
        headers: { [HEADERS.attemptId]: id },
      });
    } catch {
      // The entry was killed or is down. The request may or may not have run.
      return undefined;
    }
  }

  #checkAnswer(
    { status, body, headers, isComplete }: CallAnswer,
    { id, key }: { readonly id: string; readonly key: string },
  ): void {
    const seal = String(headers[HEADERS.answerSeal] ?? "");
    const isOwnAnswer = isComplete && body === `whole answer ${id}` &&
      seal.startsWith("seal-");
    // A killed entry leaves a truncated answer, which the caller can detect.
    if (status === 200 && isComplete && !isOwnAnswer) {
      this.violations.push(
        `${id}: a success that is not its own: ${body}`,
      );
    }
    if (DENIED_STATUSES.has(status) && key === CALLER_KEY) {
      this.violations.push(
        `${id}: denied with ${status}`,
      );
    }
  }

  /** Checks which requests ran. Must be called after all requests have ended. */
  checkRuns(
    { runs }: EngineFleet,
    { revokedAtMs }: { readonly revokedAtMs: number | undefined },
  ): void {
    for (const { id, isOnce, key, status } of this.#sent) {
      const startTimesMs = runs.get(id) ?? [];
      if (isOnce && startTimesMs.length > 1) {
        this.violations.push(`${id}: ran ${startTimesMs.length} times`);
      }
      if (
        isOnce && NOT_RUN_STATUSES.has(status ?? 0) && startTimesMs.length > 0
      ) {
        this.violations.push(`${id}: answered ${status}, and ran`);
      }
      if (key !== REVOKED_KEY || revokedAtMs === undefined) continue;
      const [firstStartMs = 0] = startTimesMs;
      const afterMs = Math.round(firstStartMs - revokedAtMs);
      if (afterMs > MAX_REVOCATION_MS) {
        this.violations.push(
          `${id}: ran ${afterMs} ms after its key went`,
        );
      }
      const repeatMs = Math.round((startTimesMs.at(-1) ?? 0) - firstStartMs);
      if (repeatMs > MAX_REPEAT_MS) {
        this.violations.push(
          `${id}: ran again ${repeatMs} ms after its first run`,
        );
      }
    }
  }
}
