/**
 * Which numbered messages of one sender were decided.
 *
 * They are remembered one by one up to a bound. Beyond it the oldest are
 * covered by a floor: every number at or below it counts as decided. A message
 * that was still on its way then counts as decided too, which the receiver
 * must answer truthfully and which is rare.
 */

const MAX_REMEMBERED = 128;

export class DecidedNumbers {
  #floor = 0;
  readonly #numbers = new Set<number>();

  static create(): DecidedNumbers {
    return new DecidedNumbers();
  }

  has(number: number): boolean {
    return number <= this.#floor || this.#numbers.has(number);
  }

  add(number: number): void {
    if (this.has(number)) return;
    this.#numbers.add(number);
    if (this.#numbers.size <= MAX_REMEMBERED) return;
    const [oldest] = this.#numbers;
    this.#numbers.delete(oldest!);
    this.#floor = Math.max(this.#floor, oldest!);
  }
}
