/** The running completions of an engine and the queue behind them. */

import type { Completion, CompletionFaults } from "./completion.ts";

export interface BatchLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly cachedTokens: number;
}

interface BatchItem {
  readonly completion: Completion;
  /** Called when the completion leaves the queue. */
  readonly onStart: () => void;
  /** When its first token is due. */
  readyAtMs: number;
}

export interface ProduceOptions {
  readonly faults: CompletionFaults;
  readonly nowMs: number;
  /** Maximum number of tokens for each completion. */
  readonly tokens: number;
}

export class Batch {
  readonly #queue: BatchItem[] = [];
  #running: BatchItem[] = [];

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

  /** Starts queued completions, oldest first, up to the concurrency limit. */
  startQueued(concurrency: number, readyAtMs: number): void {
    while (this.#running.length < concurrency && this.#queue.length > 0) {
      const item = this.#queue.shift() as BatchItem;
      if (item.completion.isFinished) continue;
      item.readyAtMs = readyAtMs;
      item.onStart();
      item.completion.startReply();
      this.#running.push(item);
    }
  }

  /** Produces up to `tokens` tokens for each completion whose first token is due. */
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
