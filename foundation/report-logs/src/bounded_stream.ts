/**
 * A log stream that never blocks the process: lines wait in a bounded queue and
 * are written in the background. What does not fit is counted and dropped.
 */

import { write } from "node:fs";
import type { LogStream } from "./log_reporter.ts";

/** Lines of some seconds at full load. */
const MAX_QUEUED_BYTES = 1_048_576;
/** Lines of a moment go out in one write. */
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

  /** Lines dropped since this was asked last. */
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
    this.#schedule();
  }

  /** Resolves when all lines so far are written. */
  flush(): Promise<void> {
    if (this.#queue.length === 0 && !this.#isWriting) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  #schedule(): void {
    if (this.#isWriting) return;
    this.#isWriting = true;
    setTimeout(() => this.#writeNext(), FLUSH_DELAY_MS);
  }

  #writeNext(): void {
    const bytes = Buffer.from(this.#queue.join(""));
    this.#queue = [];
    this.#queuedBytes = bytes.length;
    this.#writeRest(bytes);
  }

  #writeRest(bytes: Buffer): void {
    write(this.#fd, bytes, (error, written) => {
      // Nobody reads the log any more; what is written counts as dropped.
      if (
        error !== null && (error as NodeJS.ErrnoException).code !== "EAGAIN"
      ) {
        this.#droppedLines += 1;
        return this.#endWrite(bytes.length);
      }
      const rest = bytes.subarray(written ?? 0);
      this.#queuedBytes -= written ?? 0;
      if (rest.length === 0) return this.#endWrite(0);
      setTimeout(() => this.#writeRest(rest), FLUSH_DELAY_MS);
    });
  }

  #endWrite(lostBytes: number): void {
    this.#queuedBytes -= lostBytes;
    this.#isWriting = false;
    if (this.#queue.length > 0) return this.#schedule();
    this.#onIdle?.();
    this.#onIdle = undefined;
  }
}
