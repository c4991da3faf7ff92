/**
 * The last bytes of a `text/event-stream`, which show whether it ended after a
 * complete event. The end of its message does not show it: a target that breaks
 * off may end the message in the regular way.
 */

/** Longer than the final event with its line ends. */
const TAIL_BYTES = 64;
const EVENT_END = /(?:^(?:\r?\n)*|\n\r?\n)$/;
const FINAL_EVENT = /(?:^|\n)data: ?\[DONE\](?:\r?\n){2,}$/;

export class StreamTail {
  #text = "";

  private constructor() {}

  static create(): StreamTail {
    return new StreamTail();
  }

  push(chunk: Buffer): void {
    const text = chunk.subarray(-TAIL_BYTES).toString("latin1");
    this.#text = (this.#text + text).slice(-TAIL_BYTES);
  }

  /** True if the last event is complete, or if there is none. */
  get endsAfterEvent(): boolean {
    return EVENT_END.test(this.#text);
  }

  /** True if the last event is complete and is `data: [DONE]`. */
  get endsAfterFinalEvent(): boolean {
    return FINAL_EVENT.test(this.#text);
  }
}
