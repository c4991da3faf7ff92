/**
 * A `most` stream that a task pushes events into. Events are delivered
 * synchronously; an error thrown by the consumer propagates to the caller.
 */

import { type Scheduler, type Sink, type Source, Stream } from "most";

/** Supports one consumer. Events emitted before it subscribes are lost. */
export class EventSource<Event> {
  readonly stream: Stream<Event>;
  #sink: Sink<Event> | undefined;
  #scheduler: Scheduler | undefined;

  private constructor() {
    const source: Source<Event> = {
      run: (sink, scheduler) => {
        this.#sink = sink;
        this.#scheduler = scheduler;
        return { dispose: () => this.#dispose() };
      },
    };
    this.stream = new Stream(source);
  }

  static create<Event>(): EventSource<Event> {
    return new EventSource<Event>();
  }

  emit(event: Event): void {
    this.#sink?.event(this.#scheduler?.now() ?? 0, event);
  }

  end(): void {
    this.#sink?.end(this.#scheduler?.now() ?? 0);
  }

  #dispose(): void {
    this.#sink = undefined;
  }
}
