/**
 * A map whose entries are mostly deleted in the order in which they were added.
 *
 * A single large `Map` used this way allocates space for twice its entries, as
 * it grows before the space of deleted entries is reclaimed. The entries are
 * therefore split over several maps of a fixed size, the maximum that a map of
 * that capacity holds, and maps that become empty are dropped.
 */

/** A power of two, like the capacity of a `Map`. */
const ENTRIES_PER_MAP = 16_384;

export class AgingMap<Value> {
  /** Oldest first; new entries are added to the last one. */
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

  /** Adds an entry; its key must not be in the map yet. */
  add(key: string, value: Value): void {
    let newest = this.#maps.at(-1)!;
    if (newest.size >= ENTRIES_PER_MAP) {
      newest = new Map();
      this.#maps.push(newest);
    }
    newest.set(key, value);
    this.#size += 1;
  }

  delete(key: string): boolean {
    for (const [index, map] of this.#maps.entries()) {
      if (!map.delete(key)) continue;
      this.#size -= 1;
      if (map.size === 0) this.#removeEmptyMap(index);
      return true;
    }
    return false;
  }

  /** Iterates over the entries, oldest first. */
  *[Symbol.iterator](): Iterator<[string, Value]> {
    for (const map of [...this.#maps]) yield* map;
  }

  #removeEmptyMap(index: number): void {
    if (index < this.#maps.length - 1) this.#maps.splice(index, 1);
    else this.#maps[index] = new Map();
  }
}
