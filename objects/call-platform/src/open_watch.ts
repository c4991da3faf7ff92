/**
 * One watch over a connection of its own: it hands on whole lines, and tells
 * once how it ended. What to do then is its user's business.
 */

import { HttpPool } from "@dandelionbank/open-http";
import type { PlatformCaller } from "./platform_caller.ts";
import { unreachable } from "./platform_errors.ts";

/** A value of 1 MB, escaped in JSON, with what stands round it. */
const LINE_LIMIT_CHARS = 4_000_000;

export type WatchEnd =
  /** The revision is too old to resume from. */
  | { readonly kind: "compacted" }
  | { readonly kind: "failed"; readonly error: Error };

export interface WatchOptions {
  readonly since: number;
  readonly onLine: (line: string) => void;
  /** Called once, but not after `close`. */
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
  #isOver = false;
  #rest = "";

  constructor(caller: PlatformCaller, options: WatchOptions) {
    this.#caller = caller;
    this.#options = options;
    this.#pool = HttpPool.create({ origin: caller.peer, connections: 1 });
  }

  open(): void {
    this.#caller.counter.count("watches");
    this.#pool.send({
      method: "GET",
      path: this.#caller.pathOf(`/v1/watch?since=${this.#options.since}`),
      headers: this.#caller.credential,
    }, {
      onHead: ({ status }) => this.#begin(status),
      onData: (chunk) => this.#read(chunk),
      onEnd: () => this.#fail("The watch ended"),
      onError: (error) => this.#fail(error.message),
    });
  }

  close(): void {
    this.#isOver = true;
    void this.#pool.close();
  }

  #begin(status: number): void {
    if (status === 410) this.#end({ kind: "compacted" });
    else if (status !== 200) this.#fail(`Status ${status}`);
  }

  #read(chunk: Buffer): void {
    const text = this.#rest + this.#decoder.decode(chunk, { stream: true });
    const lines = text.split("\n");
    this.#rest = lines.pop() ?? "";
    for (const line of lines) {
      if (!this.#isOver) this.#options.onLine(line);
    }
    if (this.#rest.length > LINE_LIMIT_CHARS) this.#fail("A line is too long");
  }

  #fail(message: string): void {
    const error = unreachable({
      step: "watch objects",
      peer: this.#caller.peer,
      cause: new Error(message),
    });
    this.#end({ kind: "failed", error });
  }

  #end(end: WatchEnd): void {
    if (this.#isOver) return;
    this.close();
    this.#options.onEnd(end);
  }
}
