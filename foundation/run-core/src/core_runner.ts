/**
 * Runs a pure core: applies it to the events that its task posts, one at a time
 * and in order, and performs the resulting effects. An effect may post further
 * events; they are queued until all effects of the current event have been
 * performed.
 */

import type { StepFunction } from "@dandelionbank/types";
import { EventSource } from "./event_source.ts";

export interface CoreRunnerOptions<State, Event, Effect> {
  readonly initial: State;
  readonly step: StepFunction<State, Event, Effect>;
  readonly perform: (effect: Effect) => void;
  /** A monotonic clock in milliseconds. */
  readonly readNowMs: () => number;
}

export class CoreRunner<State, Event, Effect> {
  readonly #options: CoreRunnerOptions<State, Event, Effect>;
  readonly #source = EventSource.create<Event>();
  readonly #queue: Event[] = [];
  #state: State;
  #isDraining = false;

  private constructor(options: CoreRunnerOptions<State, Event, Effect>) {
    this.#options = options;
    this.#state = options.initial;
  }

  static create<State, Event, Effect>(
    options: CoreRunnerOptions<State, Event, Effect>,
  ): CoreRunner<State, Event, Effect> {
    const runner = new CoreRunner(options);
    runner.#subscribe();
    return runner;
  }

  /** The state after the last event that was processed. */
  get state(): State {
    return this.#state;
  }

  post(event: Event): void {
    this.#queue.push(event);
    if (this.#isDraining) return;
    this.#drain();
  }

  /** Ends the stream; events posted later have no effect. */
  stop(): void {
    this.#source.end();
  }

  #subscribe(): void {
    const { step, perform, readNowMs, initial } = this.#options;
    this.#source.stream
      .loop((state: State, event: Event) => {
        const next = step(state, event, readNowMs());
        this.#state = next.state;
        return { seed: next.state, value: next.effects };
      }, initial)
      .observe((effects) => {
        for (const effect of effects) perform(effect);
      });
  }

  #drain(): void {
    this.#isDraining = true;
    try {
      while (this.#queue.length > 0) {
        this.#source.emit(this.#queue.shift() as Event);
      }
    } finally {
      this.#isDraining = false;
    }
  }
}
