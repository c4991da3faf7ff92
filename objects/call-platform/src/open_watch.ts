/**
 * A watch over a connection of its own. Delivers complete lines, and reports its
 * end once; whether to reopen it is up to the caller.
 */

import { HttpPool } from "@dandelionbank/open-http";
import type { PlatformCaller } from "./platform_caller.ts";
import { createUnreachableError } from "./platform_errors.ts";

/** Fits a value of 1 MB with JSON escapes and the other fields of a line. */
const MAX_LINE_LENGTH = 4_000_000;

export type WatchEnd =
  /** The platform no longer retains the changes since the revision. */
  | { readonly kind: "compacted" }
  | { readonly kind: "failed"; readonly error: Error };

export interface WatchOptions {
  /** Revision after which changes are delivered. */
  readonly since: number;
  readonly onLine: (line: string) => void;
  /** Called at most once, and not after `close`. */
  readonly onEnd: (end: WatchEnd) => void;
}

export interface WatchHandle {
  close(): void;
}

export function openWatch(
  caller: PlatformCaller,
  options: WatchOptions,
): WatchHandle {
  const watch = new Watch(caller, options);
  watch.open();
  return watch;
}

class Watch implements WatchHandle {
  readonly #caller: PlatformCaller;
  readonly #options: WatchOptions;
  readonly #pool: HttpPool;
  readonly #decoder = new TextDecoder();
  #isClosed = false;
  #partial = "";

  constructor(caller: PlatformCaller, options: WatchOptions) {
    this.#caller = caller;
    this.#options = options;
    this.#pool = HttpPool.create({ origin: caller.peer, connections: 1 });
  }

  open(): void {
    this.#caller.counter.count("watches");
    this.#pool.send({
      method: "GET",
      path: this.#caller.resolvePath(`/v1/watch?since=${this.#options.since}`),
      headers: this.#caller.credential,
    }, {
      onHead: ({ status }) => this.#handleStatus(status),
      onData: (chunk) => this.#handleChunk(chunk),
      onEnd: () => this.#fail("The platform closed the watch"),
      onError: (error) => this.#fail(error.message),
    });
  }

  close(): void {
    this.#isClosed = true;
    void this.#pool.close();
  }

  #handleStatus(status: number): void {
    if (status === 410) this.#end({ kind: "compacted" });
    else if (status !== 200) this.#fail(`Status ${status}`);
  }

  #handleChunk(chunk: Buffer): void {
    const text = this.#partial + this.#decoder.decode(chunk, { stream: true });
    const lines = text.split("\n");
    this.#partial = lines.pop() ?? "";
    for (const line of lines) {
      if (!this.#isClosed) this.#options.onLine(line);
    }
    if (this.#partial.length > MAX_LINE_LENGTH) this.#fail("Line too long");
  }

  #fail(message: string): void {
    const error = createUnreachableError({
      step: "watch objects",
      peer: this.#caller.peer,
      cause: new Error(message),
    });
    this.#end({ kind: "failed", error });
  }

  #end(end: WatchEnd): void {
    if (this.#isClosed) return;
    this.close();
    this.#options.onEnd(end);
  }
}
