/** Performs the effects of the watch's state machine with a connection and a timer. */

import type { PlatformClient, WatchHandle } from "@dandelionbank/call-platform";
import { CoreRunner } from "@dandelionbank/run-core";
import {
  createWatchState,
  stepWatch,
  type WatchEffect,
  type WatchEvent,
  type WatchInput,
  type WatchState,
} from "@dandelionbank/watch-core";

export interface WatchTaskOptions {
  readonly client: Pick<PlatformClient, "list" | "openWatch">;
  readonly random: () => number;
  readonly idleTimeoutMs: number;
  readonly onEvent: (event: WatchEvent) => void;
}

export class WatchTask {
  readonly #options: WatchTaskOptions;
  readonly #runner: CoreRunner<WatchState, WatchInput, WatchEffect>;
  #watch: WatchHandle | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isDisposed = false;

  static start(options: WatchTaskOptions): WatchTask {
    const task = new WatchTask(options);
    task.#runner.post({ type: "started" });
    return task;
  }

  private constructor(options: WatchTaskOptions) {
    this.#options = options;
    this.#runner = CoreRunner.create<WatchState, WatchInput, WatchEffect>({
      initial: createWatchState(options),
      step: stepWatch,
      perform: (effect) => this.#perform(effect),
      readNowMs: () => performance.now(),
    });
  }

  dispose(): void {
    this.#isDisposed = true;
    clearTimeout(this.#timer);
    this.#watch?.close();
    this.#runner.stop();
  }

  #perform(effect: WatchEffect): void {
    if (this.#isDisposed) return;
    switch (effect.type) {
      case "list":
        return void this.#list();
      case "openWatch":
        return this.#openWatch(effect.since);
      case "closeWatch":
        return this.#watch?.close();
      case "setTimer":
        return this.#setTimer(effect);
      case "emit":
        return this.#options.onEvent(effect.event);
    }
  }

  async #list(): Promise<void> {
    this.#post(
      await this.#options.client.list().then(
        (list): WatchInput => ({ type: "listed", list }),
        (error): WatchInput => ({ type: "listFailed", error }),
      ),
    );
  }

  #openWatch(since: number): void {
    this.#watch = this.#options.client.openWatch({
      since,
      onLine: (line) => this.#post({ type: "lineReceived", line }),
      onEnd: (end) =>
        this.#post(
          end.kind === "compacted"
            ? { type: "watchCompacted" }
            : { type: "watchFailed", error: end.error },
        ),
    });
  }

  #setTimer(
    { minDelayMs, maxDelayMs }: {
      readonly minDelayMs: number;
      readonly maxDelayMs: number;
    },
  ): void {
    clearTimeout(this.#timer);
    const jitterMs = this.#options.random() * (maxDelayMs - minDelayMs);
    this.#timer = setTimeout(
      () => this.#post({ type: "timerFired" }),
      minDelayMs + jitterMs,
    );
  }

  #post(input: WatchInput): void {
    if (!this.#isDisposed) this.#runner.post(input);
  }
}
