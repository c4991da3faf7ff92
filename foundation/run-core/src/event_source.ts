/**
 * A `most` stream that a task feeds by hand. Events are delivered at once, on
 * the caller's stack; an error thrown by a consumer reaches the caller.
 */

import { type Scheduler, type Sink, type Source, Stream } from "most";

/** One consumer's end of the stream; events emitted before it starts are lost. */
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
