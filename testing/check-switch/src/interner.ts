/** Assigns one id to all equal values, so that states can be compared by id. */

export class Interner<Value> {
  readonly #ids = new Map<string, number>();
  readonly #values: Value[] = [];

  static create<Value>(): Interner<Value> {
    return new Interner<Value>();
  }

  intern(value: Value): number {
    const key = JSON.stringify(value);
    const existingId = this.#ids.get(key);
    if (existingId !== undefined) return existingId;
    const id = this.#values.length;
    this.#ids.set(key, id);
    this.#values.push(value);
    return id;
  }

  get(id: number): Value {
    const value = this.#values[id];
    if (value === undefined) throw new RangeError(`No value ${id}`);
    return value;
  }
}
