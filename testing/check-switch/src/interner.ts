/** Numbers equal values alike, so that states are compared by number. */

export class Interner<Value> {
  readonly #ids = new Map<string, number>();
  readonly #values: Value[] = [];

  static create<Value>(): Interner<Value> {
    return new Interner<Value>();
  }

  intern(value: Value): number {
    const key = JSON.stringify(value);
    const known = this.#ids.get(key);
    if (known !== undefined) return known;
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
