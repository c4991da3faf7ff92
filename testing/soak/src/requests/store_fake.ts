/**
 * An in-memory stand-in for the platform's object store. A call takes effect
 * atomically between its start and its answer. During an outage it has no
 * effect, and an answer can be lost after the effect.
 */

import type { RegisteredAgent } from "@dandelionbank/take-over-keys";
import type { World } from "./world.ts";

export interface StoredAgent extends RegisteredAgent {
  readonly revision: number;
}

export type StoreChange =
  | { readonly kind: "agent"; readonly agent: RegisteredAgent }
  | { readonly kind: "agentRemoved"; readonly target: string }
  | {
    readonly kind: "entry";
    readonly name: string;
    readonly incarnation: string;
  }
  | {
    readonly kind: "closing";
    readonly incarnation: string;
    readonly successor: string;
  };

const MAX_ONE_WAY_DELAY_MS = 15;
const RETRY_DELAY_MS = 100;

export class StoreFake {
  readonly agents = new Map<string, RegisteredAgent>();
  readonly entries = new Map<string, string>();
  readonly closings = new Map<string, string>();
  readonly #world: World;
  readonly #changes: StoreChange[] = [];
  isDown = false;
  lostAnswerProbability = 0;

  constructor(world: World) {
    this.#world = world;
  }

  get revision(): number {
    return this.#changes.length;
  }

  /**
   * Makes a call on behalf of a node and retries it until the node gets an
   * answer, so `effect` must be idempotent.
   */
  call<Result>(
    node: string,
    work: { effect: () => Result; then: (result: Result) => void },
  ): void {
    const { queue, random } = this.#world;
    queue.startTimer(node, {
      delayMs: random.int(0, MAX_ONE_WAY_DELAY_MS),
      run: () => {
        const delayMs = random.int(0, MAX_ONE_WAY_DELAY_MS);
        const retry = () => this.call(node, work);
        if (this.isDown) {
          return void queue.startTimer(node, {
            delayMs: RETRY_DELAY_MS,
            run: retry,
          });
        }
        const result = work.effect();
        if (random.chance(this.lostAnswerProbability)) {
          this.#world.countFault("storeAnswerLost");
          return void queue.startTimer(node, {
            delayMs: RETRY_DELAY_MS,
            run: retry,
          });
        }
        queue.startTimer(node, { delayMs, run: () => work.then(result) });
      },
    });
  }

  changesSince(revision: number): readonly StoreChange[] {
    return this.#changes.slice(revision);
  }

  registerAgent(agent: RegisteredAgent): void {
    if (this.agents.get(agent.target)?.incarnation === agent.incarnation) {
      return;
    }
    this.agents.set(agent.target, agent);
    this.#changes.push({ kind: "agent", agent });
  }

  removeAgent(target: string): void {
    if (!this.agents.delete(target)) return;
    this.#changes.push({ kind: "agentRemoved", target });
  }

  registerEntry(name: string, incarnation: string): void {
    if (this.entries.get(name) === incarnation) return;
    this.entries.set(name, incarnation);
    this.#changes.push({ kind: "entry", name, incarnation });
  }

  /** Closes an incarnation if it is open; returns whether its successor is the given one. */
  close(incarnation: string, successor: string): boolean {
    const known = this.closings.get(incarnation);
    if (known !== undefined) return known === successor;
    this.closings.set(incarnation, successor);
    this.#changes.push({ kind: "closing", incarnation, successor });
    return true;
  }
}
