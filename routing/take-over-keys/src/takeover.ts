/**
 * One takeover: the incarnations whose keys it covers, and what each agent
 * said of them.
 */

import type { HomeReport } from "@dandelionbank/admit-attempts";
import type { RegisteredAgent } from "./events.ts";

/**
 * `waiting` to be asked, `asked`, `answered`, `unreachable` (asked again
 * now and then), or `replaced` by another incarnation, for good.
 */
export type AgentAnswer =
  | "waiting"
  | "asked"
  | "answered"
  | "unreachable"
  | "replaced";

export interface AskedAgent {
  readonly sighting: RegisteredAgent;
  answer: AgentAnswer;
  askedAtMs: number;
}

export interface HeldKey {
  readonly target: string;
  readonly agentIncarnation: string;
}

export type TakeoverStage = "listing" | "asking" | "decided" | "expired";

/** Most time that one tick counts, lest a clock that jumps ends a wait early. */
const MAX_WAIT_STEP_MS = 100;

export class Takeover {
  readonly incarnation: string;
  readonly incarnations: readonly string[];
  readonly closedAtMs: number;
  readonly agents = new Map<string, AskedAgent>();
  readonly #held = new Map<string, HeldKey>();
  /** By pool and incarnation: the latest issue time of forgotten keys. */
  readonly #forgotten = new Map<string, number>();
  stage: TakeoverStage = "listing";
  listedRevision = 0;
  /** Time that certainly passed since the closing took effect. */
  waitedMs = 0;
  #tickedAtMs: number;

  constructor(
    incarnations: readonly [string, ...string[]],
    closedAtMs: number,
  ) {
    this.incarnation = incarnations[0];
    this.incarnations = incarnations;
    this.closedAtMs = closedAtMs;
    this.#tickedAtMs = closedAtMs;
  }

  wait(nowMs: number): void {
    this.waitedMs += Math.min(nowMs - this.#tickedAtMs, MAX_WAIT_STEP_MS);
    this.#tickedAtMs = nowMs;
  }

  get heldCount(): number {
    return this.#held.size;
  }

  list(agents: readonly RegisteredAgent[], revision: number): void {
    this.stage = "asking";
    this.listedRevision = revision;
    for (const sighting of agents) {
      this.agents.set(sighting.target, {
        sighting,
        answer: "waiting",
        askedAtMs: -Infinity,
      });
    }
  }

  /** Gives up what was found out, when every key it covers has expired. */
  expire(): void {
    this.stage = "expired";
    this.agents.clear();
    this.#held.clear();
    this.#forgotten.clear();
  }

  /** Whether an answer is about every incarnation, not that to a smaller ask. */
  isCoveredBy(homes: readonly HomeReport[]): boolean {
    const told = new Set(homes.map(({ incarnation }) => incarnation));
    return this.incarnations.every((incarnation) => told.has(incarnation));
  }

  takeAnswer(agent: AskedAgent, homes: readonly HomeReport[]): void {
    const { target, pool, incarnation } = agent.sighting;
    agent.answer = "answered";
    for (const home of homes) {
      for (const { keyId } of home.keys) {
        this.#held.set(keyId, { target, agentIncarnation: incarnation });
      }
      const name = forgottenName(pool, home.incarnation);
      const known = this.#forgotten.get(name) ?? -1;
      this.#forgotten.set(name, Math.max(known, home.forgottenIssuedAtMs));
    }
  }

  findHeld(keyId: string): HeldKey | undefined {
    return this.#held.get(keyId);
  }

  /** Whether a key under a ticket of that time may have been forgotten. */
  mayHaveForgotten(
    pool: string,
    ticket: { readonly incarnation: string; readonly issuedAtMs: number },
  ): boolean {
    const name = forgottenName(pool, ticket.incarnation);
    return (this.#forgotten.get(name) ?? -1) >= ticket.issuedAtMs;
  }

  /** The answers of a pool's agents. */
  *answersOf(pool: string): Iterable<AgentAnswer> {
    for (const { sighting, answer } of this.agents.values()) {
      if (sighting.pool === pool) yield answer;
    }
  }

  countAnswers(answer: AgentAnswer): number {
    let count = 0;
    for (const agent of this.agents.values()) {
      if (agent.answer === answer) count += 1;
    }
    return count;
  }
}

function forgottenName(pool: string, incarnation: string): string {
  return `${pool}\n${incarnation}`;
}
