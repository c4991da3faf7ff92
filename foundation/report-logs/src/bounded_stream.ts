/**
 * A log stream that never blocks the process: lines are buffered in a bounded
 * queue and written in the background. Lines that do not fit are dropped and
 * counted.
 */

import { write } from "node:fs";
import type { LogStream } from "./log_reporter.ts";

/** Holds the lines of some seconds at full load. */
const MAX_QUEUED_BYTES = 1_048_576;
/** Batches the lines of this period into one write. */
const FLUSH_DELAY_MS = 20;

export class BoundedLogStream implements LogStream {
  readonly isTTY = false;
  readonly #fd: number;
  #queue: string[] = [];
  #queuedBytes = 0;
  #droppedLines = 0;
  #isWriting = false;
  #onIdle: (() => void) | undefined;

  private constructor(fd: number) {
    this.#fd = fd;
  }

  static create({ fd }: { readonly fd: number }): BoundedLogStream {
    return new BoundedLogStream(fd);
  }

  /** Returns the number of lines dropped since the last call, and resets it. */
  takeDroppedLineCount(): number {
    const dropped = this.#droppedLines;
    this.#droppedLines = 0;
    return dropped;
  }

  write(text: string): void {
    if (this.#queuedBytes + text.length > MAX_QUEUED_BYTES) {
      this.#droppedLines += 1;
      return;
    }
    this.#queue.push(text);
    this.#queuedBytes += text.length;
    this.#scheduleWrite();
  }

  /** Resolves when all lines queued so far have been written. */
  flush(): Promise<void> {
    if (this.#queue.length === 0 && !this.#isWriting) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  #scheduleWrite(): void {
    if (this.#isWriting) return;
    this.#isWriting = true;
    setTimeout(() => this.#writeQueue(), FLUSH_DELAY_MS);
  }

  #writeQueue(): void {
    const bytes = Buffer.from(this.#queue.join(""));
    this.#queue = [];
    this.#queuedBytes = bytes.length;
    this.#writeBytes(bytes);
  }

  #writeBytes(bytes: Buffer): void {
    write(this.#fd, bytes, (error, written) => {
      // Nobody reads the log any more; the whole batch counts as one dropped line.
      if (
        error !== null && (error as NodeJS.ErrnoException).code !== "EAGAIN"
      ) {
        this.#droppedLines += 1;
        return this.#finishWrite(bytes.length);
      }
      const rest = bytes.subarray(written ?? 0);
      this.#queuedBytes -= written ?? 0;
      if (rest.length === 0) return this.#finishWrite(0);
      setTimeout(() => this.#writeBytes(rest), FLUSH_DELAY_MS);
    });
  }

  #finishWrite(lostBytes: number): void {
    this.#queuedBytes -= lostBytes;
    this.#isWriting = false;
    if (this.#queue.length > 0) return this.#scheduleWrite();
    this.#onIdle?.();
    this.#onIdle = undefined;
  }
}
