/** A binary heap of events: the earliest first, equal times in order of entry. */

export interface HeapEvent {
  readonly atMs: number;
  readonly order: number;
}

export class EventHeap<Event extends HeapEvent> {
  readonly #events: Event[] = [];

  static create<Event extends HeapEvent>(): EventHeap<Event> {
    return new EventHeap<Event>();
  }

  get size(): number {
    return this.#events.length;
  }

  peek(): Event | undefined {
    return this.#events[0];
  }

  push(event: Event): void {
    const events = this.#events;
    let at = events.length;
    events.push(event);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(event, events[parent]!)) break;
      events[at] = events[parent]!;
      at = parent;
    }
    events[at] = event;
  }

  pop(): Event | undefined {
    const events = this.#events;
    const first = events[0];
    const last = events.pop();
    if (first === undefined || last === undefined || events.length === 0) {
      return first;
    }
    this.#sink(last);
    return first;
  }

  #sink(event: Event): void {
    const events = this.#events;
    let at = 0;
    while (true) {
      const child = this.#earlierChild(at);
      if (child === undefined || !isBefore(events[child]!, event)) break;
      events[at] = events[child]!;
      at = child;
    }
    events[at] = event;
  }

  #earlierChild(at: number): number | undefined {
    const left = 2 * at + 1;
    const right = left + 1;
    if (left >= this.#events.length) return undefined;
    if (right >= this.#events.length) return left;
    return isBefore(this.#events[right]!, this.#events[left]!) ? right : left;
  }
}

function isBefore(one: HeapEvent, other: HeapEvent): boolean {
  if (one.atMs !== other.atMs) return one.atMs < other.atMs;
  return one.order < other.order;
}
