/** Completions that run at once and those that wait for a place. */

import type { Completion, CompletionFaults } from "./completion.ts";

export interface BatchLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly cachedTokens: number;
}

interface Entry {
  readonly completion: Completion;
  /** Called when it gets a place. */
  readonly onStart: () => void;
  readyAtMs: number;
}

export interface ProduceOptions {
  readonly faults: CompletionFaults;
  readonly nowMs: number;
  readonly tokens: number;
}

export class Batch {
  readonly #queue: Entry[] = [];
  #running: Entry[] = [];

  static create(): Batch {
    return new Batch();
  }

  get isEmpty(): boolean {
    return this.#running.length === 0 && this.#queue.length === 0;
  }

  get load(): BatchLoad {
    return {
      inFlight: this.#running.length,
      queued: this.#queue.length,
      cachedTokens: this.#running.reduce(
        (sum, { completion }) => sum + completion.cachedTokens,
        0,
      ),
    };
  }

  add(completion: Completion, onStart: () => void): void {
    this.#queue.push({ completion, onStart, readyAtMs: 0 });
  }

  /** Gives free places to those that have waited longest. */
  startQueued(concurrency: number, readyAtMs: number): void {
    while (this.#running.length < concurrency && this.#queue.length > 0) {
      const entry = this.#queue.shift() as Entry;
      if (entry.completion.isFinished) continue;
      entry.readyAtMs = readyAtMs;
      entry.onStart();
      entry.completion.startReply();
      this.#running.push(entry);
    }
  }

  /** Makes up to `tokens` tokens of each completion that is past its first wait. */
  produceTokens({ faults, nowMs, tokens }: ProduceOptions): void {
    for (const { completion, readyAtMs } of this.#running) {
      if (nowMs < readyAtMs) continue;
      for (let count = 0; count < tokens; count++) {
        completion.produceToken(faults);
      }
    }
    this.#running = this.#running.filter(({ completion }) =>
      !completion.isFinished
    );
  }
}
