/**
 * Counts the bytes of control messages per node: the message as JSON and a
 * fixed part for framing on a connection that stays open. Headers of a request
 * of its own for every message would come on top.
 */

const FRAMING_BYTES = 64;

export class TrafficMeter {
  readonly #sentBytes = new Map<string, number>();
  #messages = 0;
  counting = false;

  static create(): TrafficMeter {
    return new TrafficMeter();
  }

  count(from: string, message: unknown): void {
    if (!this.counting) return;
    const bytes = JSON.stringify(message).length + FRAMING_BYTES;
    this.#sentBytes.set(from, (this.#sentBytes.get(from) ?? 0) + bytes);
    this.#messages += 1;
  }

  get messages(): number {
    return this.#messages;
  }

  /** Bytes sent a second by a node on average, and by the busiest. */
  ratesOver(
    durationMs: number,
    nodeCount: number,
  ): { readonly mean: number; readonly busiest: number } {
    const perSecond = [...this.#sentBytes.values()].map((bytes) =>
      bytes * 1_000 / durationMs
    );
    const sum = perSecond.reduce((total, rate) => total + rate, 0);
    return { mean: sum / nodeCount, busiest: Math.max(0, ...perSecond) };
  }
}
