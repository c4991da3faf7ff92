/** Reads the body of one request as far as it has room in the shared memory. */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import { decodeCallerHead } from "@dandelionbank/platform-adapter";
import type {
  BodyMemory,
  BodyRefusalReason,
} from "@dandelionbank/share-body-memory";
import type { IncomingMessage } from "node:http";

export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest time for which a caller may send nothing. */
  readonly idleTimeoutMs: number;
}

export interface BodyReaderOptions {
  readonly id: number;
  readonly memory: BodyMemory;
  readonly limits: BodyLimits;
  /** Returns the time by which the request has to end. */
  readonly findDeadlineAtMs: () => number;
  readonly onBody: (body: Buffer) => void;
  readonly onTooLarge: () => void;
  readonly onRefused: (reason: BodyRefusalReason) => void;
  /** Called when many small pieces have arrived; reading pauses until `endYield`. */
  readonly onYield: () => void;
  /** Called when the caller has left before the end of the body. */
  readonly onAborted: () => void;
}

/** First claim of a body whose length is not known. */
const FIRST_CLAIM_BYTES = 4_096;
const GROWTH_FACTOR = 2;
/** A piece costs about as much time as copying so many bytes. */
const SMALL_PIECE_BYTES = 1_024;
/** Small pieces after which other connections get a turn. */
const MAX_SMALL_PIECES = 4_096;

export class BodyReader {
  readonly #request: IncomingMessage;
  readonly #options: BodyReaderOptions;
  readonly #startedAtMs = performance.now();
  /** The length that the head states; undefined for a body in chunks. */
  readonly #statedBytes: number | undefined;
  /** Undefined once the body is whole, or no longer wanted. */
  #collector: ByteCollector | undefined;
  #receivedBytes = 0;
  #roomBytes = 0;
  #smallPieces = 0;
  #isWaitingForRoom = false;
  #isYielding = false;
  #isPausePending = false;
  #hasDeadline = false;

  private constructor(request: IncomingMessage, options: BodyReaderOptions) {
    this.#request = request;
    this.#options = options;
    const length = request.headers["content-length"];
    this.#statedBytes = length === undefined ? undefined : Number(length);
    this.#collector = ByteCollector.create({
      expectedBytes: this.#statedBytes ?? options.limits.maxBytes,
    });
  }

  static create(
    request: IncomingMessage,
    options: BodyReaderOptions,
  ): BodyReader {
    return new BodyReader(request, options);
  }

  get requestId(): string | undefined {
    return decodeCallerHead(this.#request.headers).attemptId;
  }

  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** The length stated, or as much as is known of it. */
  get sizeBytes(): number {
    return this.#statedBytes ?? this.#receivedBytes;
  }

  get elapsedMs(): number {
    return Math.round(performance.now() - this.#startedAtMs);
  }

  start(): void {
    const { id, memory, limits } = this.#options;
    const statedBytes = this.#statedBytes ?? 0;
    memory.open(id, {
      maxBytes: this.#statedBytes ?? limits.maxBytes,
      idleTimeoutMs: limits.idleTimeoutMs,
      nowMs: this.#startedAtMs,
    });
    this.#request.on("data", (chunk: Buffer) => this.#handleData(chunk));
    this.#request.on("end", () => this.#handleEnd());
    this.#request.on("close", () => this.#handleClose());
    if (statedBytes > limits.maxBytes) this.#rejectTooLarge();
    else this.#claim(statedBytes);
  }

  /** Reads on after the room that was waited for has been granted. */
  resume(roomBytes: number): void {
    this.#roomBytes = roomBytes;
    this.#isWaitingForRoom = false;
    this.#resumeSocket();
  }

  /** Reads on after other connections have had their turn. */
  endYield(): void {
    // The caller could not send meanwhile.
    this.#options.memory.recordProgress(this.#options.id);
    this.#isYielding = false;
    this.#resumeSocket();
  }

  /** Sets the deadline, which most bodies arrive too soon to need. */
  ensureDeadline(): void {
    if (this.#hasDeadline) return;
    this.#hasDeadline = true;
    const { id, memory, findDeadlineAtMs } = this.#options;
    memory.setDeadline(id, findDeadlineAtMs());
  }

  /**
   * Ends the request without its body. The rest is read and dropped: closing a
   * connection with unread bytes resets it, and the caller might lose the answer.
   */
  refuse(reason: BodyRefusalReason): void {
    this.#drop();
    this.#options.onRefused(reason);
  }

  #handleData(chunk: Buffer): void {
    if (this.#isPaused) this.#pauseSocket();
    else if (chunk.length < SMALL_PIECE_BYTES) this.#countSmallPiece();
    if (this.#collector === undefined) return;
    const { id, memory, limits } = this.#options;
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > limits.maxBytes) return this.#rejectTooLarge();
    memory.recordProgress(id);
    if (this.#receivedBytes > this.#roomBytes) this.#claimMore();
    this.#collector?.add(chunk);
  }

  #countSmallPiece(): void {
    this.#smallPieces += 1;
    if (this.#smallPieces < MAX_SMALL_PIECES) return;
    this.#smallPieces = 0;
    this.#isYielding = true;
    this.#pauseSocket();
    this.#options.onYield();
  }

  #claimMore(): void {
    if (this.#isWaitingForRoom) return;
    const grownBytes = Math.max(
      FIRST_CLAIM_BYTES,
      GROWTH_FACTOR * this.#roomBytes,
      this.#receivedBytes,
    );
    this.#claim(Math.min(grownBytes, this.#options.limits.maxBytes));
  }

  #claim(bytes: number): void {
    const { id, memory } = this.#options;
    switch (memory.claim(id, bytes, performance.now())) {
      case "granted":
        this.#roomBytes = bytes;
        break;
      case "waiting":
        this.#isWaitingForRoom = true;
        this.#pauseSocket();
        break;
      case "refused":
        this.refuse("full");
        break;
    }
  }

  #handleEnd(): void {
    const collector = this.#collector;
    if (collector === undefined) return;
    this.#collector = undefined;
    this.#options.memory.complete(this.#options.id, collector.capacityBytes);
    this.#options.onBody(collector.take());
  }

  #handleClose(): void {
    if (this.#collector === undefined) return;
    this.#collector = undefined;
    this.#options.onAborted();
  }

  #rejectTooLarge(): void {
    this.#drop();
    this.#options.onTooLarge();
  }

  /** Drops what has arrived and what still arrives of the body. */
  #drop(): void {
    this.#collector = undefined;
    this.#isWaitingForRoom = false;
    this.#resumeSocket();
    const request = this.#request;
    if (request.complete) return;
    const timer = setTimeout(
      () => request.destroy(),
      this.#options.limits.idleTimeoutMs,
    ).unref();
    request.once("close", () => clearTimeout(timer));
  }

  /**
   * Stops reading from the socket. A paused request would be filled up to its
   * high-water mark, with an object for each chunk however small. The streams'
   * own pending ticks resume the socket, so this has to come after them.
   */
  #pauseSocket(): void {
    if (this.#isPausePending) return;
    this.#isPausePending = true;
    queueMicrotask(() => {
      this.#isPausePending = false;
      if (this.#isPaused) this.#request.socket.pause();
    });
  }

  #resumeSocket(): void {
    if (!this.#isPaused) this.#request.socket.resume();
  }

  get #isPaused(): boolean {
    return this.#isWaitingForRoom || this.#isYielding;
  }
}
