/**
 * Reads the bodies of callers' requests within the memory that they share. A body
 * without room is not read on, so that its caller's window closes, until it gets
 * room or is refused.
 */

import type { Logger } from "@dandelionbank/log-events";
import { Counter, Gauge, type Registry } from "@dandelionbank/metrics";
import {
  type BodyGrant,
  BodyMemory,
  type BodyRefusalReason,
} from "@dandelionbank/share-body-memory";
import type { IncomingMessage } from "node:http";
import { type BodyLimits, BodyReader } from "./body_reader.ts";

export interface BodyIntakeOptions {
  readonly logger: Logger;
  readonly registry: Registry;
  /** Memory for all bodies together. */
  readonly totalBytes: number;
}

export interface BodyReadOptions {
  readonly limits: BodyLimits;
  /** Returns the time by which the request has to end. */
  readonly findDeadlineAtMs: () => number;
  /** Called with the whole body, which keeps its room until `release`. */
  readonly onBody: (body: Buffer, release: () => void) => void;
  readonly onTooLarge: () => void;
  /** Called if the request cannot run; nothing was sent to a target. */
  readonly onRefused: (retryAfterMs: number) => void;
}

/** Bodies up to this size, which most are, never wait behind larger ones. */
const SMALL_BYTES = 65_536;
/** Node.js reads at most this much of a socket at a time. */
const READ_BYTES = 65_536;
/**
 * Time between the turns of readers of small pieces. The pieces of one read take
 * about as long.
 */
const YIELD_INTERVAL_MS = 10;
/** Part of the memory that is kept for small bodies and for those that wait. */
const RESERVE_FRACTION = 0.25;
/**
 * Callers give up a request that is not read for a second, so one that gets no
 * room well before is refused.
 */
const MAX_WAIT_MS = 500;
/** Longer than a lost packet or a short pause of a caller's process takes. */
const MAX_STALL_MS = 1_000;

export class BodyIntake {
  readonly #options: BodyIntakeOptions;
  readonly #memory: BodyMemory;
  readonly #readers = new Map<number, BodyReader>();
  /** Readers whose connections pause for others, the first to go on first. */
  readonly #yielding: BodyReader[] = [];
  readonly #refusals: Counter<"reason">;
  #lastId = 0;

  private constructor(options: BodyIntakeOptions) {
    const { registry, totalBytes } = options;
    const memory = BodyMemory.create({
      totalBytes,
      reserveBytes: totalBytes * RESERVE_FRACTION,
      smallBytes: SMALL_BYTES,
      readBytes: READ_BYTES,
      maxWaitMs: MAX_WAIT_MS,
      maxStallMs: MAX_STALL_MS,
    });
    this.#options = options;
    this.#memory = memory;
    const registers = [registry];
    this.#refusals = new Counter({
      name: "dandelionbank_bodies_refused_total",
      help: "Requests refused while their body was read, by reason",
      labelNames: ["reason"],
      registers,
    });
    new Gauge({
      name: "dandelionbank_body_memory_budget_bytes",
      help: "Memory for the bodies of all requests together",
      registers,
      collect() {
        this.set(totalBytes);
      },
    });
    new Gauge({
      name: "dandelionbank_body_memory_held_bytes",
      help: "Memory that the bodies of requests hold",
      registers,
      collect() {
        this.set(memory.heldBytes);
      },
    });
    new Gauge({
      name: "dandelionbank_bodies_waiting",
      help: "Bodies that are not read on until others release memory",
      registers,
      collect() {
        this.set(memory.waitingCount);
      },
    });
  }

  static create(options: BodyIntakeOptions): BodyIntake {
    return new BodyIntake(options);
  }

  /** Reads a body; exactly one of the callbacks is called, or none if the caller leaves. */
  read(request: IncomingMessage, options: BodyReadOptions): void {
    this.#lastId += 1;
    const id = this.#lastId;
    const { limits, findDeadlineAtMs, onBody, onTooLarge, onRefused } = options;
    const reader = BodyReader.create(request, {
      id,
      memory: this.#memory,
      limits,
      findDeadlineAtMs,
      onBody: (body) => {
        this.#readers.delete(id);
        onBody(body, () => this.#release(id));
      },
      onTooLarge: () => {
        this.#release(id);
        onTooLarge();
      },
      onRefused: (reason) => {
        this.#release(id);
        onRefused(this.#recordRefusal(reader, reason));
      },
      onYield: () => this.#queueYield(reader),
      onAborted: () => this.#release(id),
    });
    this.#readers.set(id, reader);
    reader.start();
  }

  /** Ends what is late, or waits or stalls too long; to be called at intervals. */
  expire(): void {
    for (const reader of this.#readers.values()) reader.ensureDeadline();
    const { granted, refused } = this.#memory.expire(performance.now());
    for (const { id, reason } of refused) this.#readers.get(id)?.refuse(reason);
    this.#resume(granted);
  }

  /** Lets readers of many small pieces go on in turns, one read at a time. */
  #queueYield(reader: BodyReader): void {
    this.#yielding.push(reader);
    if (this.#yielding.length === 1) {
      setTimeout(() => this.#endYield(), YIELD_INTERVAL_MS);
    }
  }

  #endYield(): void {
    this.#yielding.shift()?.endYield();
    if (this.#yielding.length > 0) {
      setTimeout(() => this.#endYield(), YIELD_INTERVAL_MS);
    }
  }

  #release(id: number): void {
    const nowMs = performance.now();
    this.#readers.delete(id);
    this.#memory.release(id, nowMs);
    this.#resume(this.#memory.grantWaiting(nowMs));
  }

  #resume(grants: readonly BodyGrant[]): void {
    for (const { id, bytes } of grants) this.#readers.get(id)?.resume(bytes);
  }

  /** Returns when the caller should return. */
  #recordRefusal(
    { requestId, sizeBytes, elapsedMs, receivedBytes }: BodyReader,
    reason: BodyRefusalReason,
  ): number {
    const memory = this.#memory;
    const retryAfterMs = memory.assignRetryMs(sizeBytes, performance.now());
    this.#refusals.inc({ reason });
    this.#options.logger.log("bodyRefused", {
      requestId,
      reason,
      receivedBytes,
      sizeBytes,
      elapsedMs,
      heldBytes: memory.heldBytes,
      budgetBytes: memory.totalBytes,
      waiting: memory.waitingCount,
      retryAfterMs,
    });
    return retryAfterMs;
  }
}
