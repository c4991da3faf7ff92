/**
 * Liveness check: whether the ranks reach their last step without a coordinator
 * once faults end. All messages in flight are lost, no coordinator runs, and
 * every message sent from then on arrives.
 */

import { ADVANCE, TICK } from "./keys.ts";
import type { Model } from "./model.ts";

const MAX_ROUNDS = 40;

interface SimulatedRun {
  nodes: number[];
  readonly queue: number[];
}

export class Continuation {
  readonly #model: Model;
  readonly #results = new Map<string, boolean>();

  static create(model: Model): Continuation {
    return new Continuation(model);
  }

  private constructor(model: Model) {
    this.#model = model;
  }

  get count(): number {
    return this.#results.size;
  }

  canFinish(nodes: readonly number[]): boolean {
    const key = nodes.join();
    const known = this.#results.get(key);
    if (known !== undefined) return known;
    const run: SimulatedRun = { nodes: [...nodes], queue: [] };
    let rounds = 0;
    while (!this.#hasFinished(run) && rounds < MAX_ROUNDS) {
      this.#runRound(run);
      rounds += 1;
    }
    const result = this.#hasFinished(run);
    this.#results.set(key, result);
    return result;
  }

  #runRound(run: SimulatedRun): void {
    for (const rank of run.nodes.keys()) this.#step(run, rank, TICK);
    for (let next = run.queue.shift(); next !== undefined;) {
      const { to } = this.#model.messages.get(next);
      if (to.kind === "rank") this.#step(run, to.rank, next);
      next = run.queue.shift();
    }
    for (const rank of run.nodes.keys()) this.#advance(run, rank);
  }

  #advance(run: SimulatedRun, rank: number): void {
    const steps = this.#listSteps(run);
    const step = steps[rank]!;
    if (step >= this.#model.options.lastStep) return;
    if (step <= Math.min(...steps)) this.#step(run, rank, ADVANCE);
  }

  #step(run: SimulatedRun, rank: number, key: number): void {
    const result = this.#model.stepNode(run.nodes[rank]!, key);
    if (result === undefined) return;
    run.nodes[rank] = result.id;
    run.queue.push(...result.sent);
  }

  #hasFinished(run: SimulatedRun): boolean {
    const { lastStep } = this.#model.options;
    return this.#listSteps(run).every((step) => step >= lastStep);
  }

  #listSteps(run: SimulatedRun): readonly number[] {
    return run.nodes.map((id) => this.#model.nodes.get(id).engine.step);
  }
}
