/**
 * A map whose entries are added at one end and mostly leave at the other.
 *
 * One large `Map` with that use keeps room for twice its entries, since it is
 * enlarged before its deleted ones are given up. So the entries stand in
 * several maps of a fixed size, which is also the most that a map of its
 * capacity holds, and a map that has become empty is dropped.
 */

/** A power of two, as a `Map`'s capacity is. */
const ENTRIES_A_MAP = 16_384;

export class AgingMap<Value> {
  /** The oldest first; the last one takes new entries. */
  readonly #maps: Map<string, Value>[] = [new Map()];
  #size = 0;

  static create<Value>(): AgingMap<Value> {
    return new AgingMap<Value>();
  }

  get size(): number {
    return this.#size;
  }

  get(key: string): Value | undefined {
    for (const map of this.#maps) {
      const value = map.get(key);
      if (value !== undefined) return value;
    }
    return undefined;
  }

  /** Adds an entry whose key is not there yet. */
  add(key: string, value: Value): void {
    let newest = this.#maps.at(-1)!;
    if (newest.size >= ENTRIES_A_MAP) {
      newest = new Map();
      this.#maps.push(newest);
    }
    newest.set(key, value);
    this.#size += 1;
  }

  delete(key: string): boolean {
    for (const [at, map] of this.#maps.entries()) {
      if (!map.delete(key)) continue;
      this.#size -= 1;
      if (map.size === 0) this.#dropEmpty(at);
      return true;
    }
    return false;
  }

  /** The oldest first. */
  *[Symbol.iterator](): Iterator<[string, Value]> {
    for (const map of [...this.#maps]) yield* map;
  }

  #dropEmpty(at: number): void {
    if (at < this.#maps.length - 1) this.#maps.splice(at, 1);
    else this.#maps[at] = new Map();
  }
}
