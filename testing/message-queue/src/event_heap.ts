/** A binary min-heap of events, ordered by time and then by insertion order. */

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
    let index = events.length;
    events.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, events[parent]!)) break;
      events[index] = events[parent]!;
      index = parent;
    }
    events[index] = event;
  }

  pop(): Event | undefined {
    const events = this.#events;
    const first = events[0];
    const last = events.pop();
    if (first === undefined || last === undefined || events.length === 0) {
      return first;
    }
    this.#siftDown(last);
    return first;
  }

  #siftDown(event: Event): void {
    const events = this.#events;
    let index = 0;
    while (true) {
      const child = this.#findEarlierChild(index);
      if (child === undefined || !isBefore(events[child]!, event)) break;
      events[index] = events[child]!;
      index = child;
    }
    events[index] = event;
  }

  #findEarlierChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= this.#events.length) return undefined;
    if (right >= this.#events.length) return left;
    return isBefore(this.#events[right]!, this.#events[left]!) ? right : left;
  }
}

function isBefore(left: HeapEvent, right: HeapEvent): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  return left.order < right.order;
}
