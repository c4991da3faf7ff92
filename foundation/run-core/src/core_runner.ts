/**
 * Folds a core over the events that its task posts, one at a time and in
 * order. An effect may post further events; they wait until the effects of the
 * event before them have all been performed.
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
  readonly #waiting: Event[] = [];
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
    runner.#fold();
    return runner;
  }

  /** The state after the last event that was folded. */
  get state(): State {
    return this.#state;
  }

  post(event: Event): void {
    this.#waiting.push(event);
    if (this.#isDraining) return;
    this.#drain();
  }

  /** Ends the stream; events posted later have no effect. */
  stop(): void {
    this.#source.end();
  }

  #fold(): void {
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
      while (this.#waiting.length > 0) {
        this.#source.emit(this.#waiting.shift() as Event);
      }
    } finally {
      this.#isDraining = false;
    }
  }
}
