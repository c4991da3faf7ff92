/** One takeover: the incarnations that it covers and the agents' answers. */

import type { HomeReport } from "@dandelionbank/admit-attempts";
import type { RegisteredAgent } from "./events.ts";

/**
 * `waiting`: to be asked. `asked`: an ask is unanswered. `unreachable`: asked
 * again periodically. `replaced`: another incarnation took its place; final.
 */
export type AskState =
  | "waiting"
  | "asked"
  | "answered"
  | "unreachable"
  | "replaced";

export interface AskedAgent {
  readonly registered: RegisteredAgent;
  state: AskState;
  askedAtMs: number;
}

export interface HeldKey {
  readonly target: string;
  readonly agentIncarnation: string;
}

/**
 * `listing`: the agents are not known yet. `asking`: some agents have not
 * answered, or the lease may not have expired. `decided`: the lease has
 * expired, and every agent has answered, is unreachable or was replaced.
 * `expired`: every covered key has expired.
 */
export type TakeoverStage = "listing" | "asking" | "decided" | "expired";

/** Maximum time counted per tick, so that a clock jump cannot end a wait early. */
const MAX_TICK_STEP_MS = 100;

export class Takeover {
  /** The first covered incarnation, which identifies the takeover. */
  readonly incarnation: string;
  /** The closed incarnations whose keys are taken over. */
  readonly incarnations: readonly string[];
  readonly closedAtMs: number;
  readonly agents = new Map<string, AskedAgent>();
  readonly #held = new Map<string, HeldKey>();
  /** Latest issue time of evicted keys, by pool and incarnation. */
  readonly #evictedUpToMs = new Map<string, number>();
  stage: TakeoverStage = "listing";
  listedRevision = 0;
  /** Lower bound of the time since the closing took effect. */
  elapsedLeaseMs = 0;
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

  advanceWait(nowMs: number): void {
    this.elapsedLeaseMs += Math.min(nowMs - this.#tickedAtMs, MAX_TICK_STEP_MS);
    this.#tickedAtMs = nowMs;
  }

  get heldCount(): number {
    return this.#held.size;
  }

  setAgents(agents: readonly RegisteredAgent[], revision: number): void {
    this.stage = "asking";
    this.listedRevision = revision;
    for (const registered of agents) {
      this.agents.set(registered.target, {
        registered,
        state: "waiting",
        askedAtMs: -Infinity,
      });
    }
  }

  /** Discards the answers when every covered key has expired. */
  expire(): void {
    this.stage = "expired";
    this.agents.clear();
    this.#held.clear();
    this.#evictedUpToMs.clear();
  }

  /** Returns whether an answer covers every incarnation of the takeover. */
  isAnsweredBy(homes: readonly HomeReport[]): boolean {
    const reported = new Set(homes.map(({ incarnation }) => incarnation));
    return this.incarnations.every((incarnation) => reported.has(incarnation));
  }

  recordAnswer(agent: AskedAgent, homes: readonly HomeReport[]): void {
    const { target, pool, incarnation } = agent.registered;
    agent.state = "answered";
    for (const home of homes) {
      for (const { keyId } of home.keys) {
        this.#held.set(keyId, { target, agentIncarnation: incarnation });
      }
      const name = formatPoolKey(pool, home.incarnation);
      const known = this.#evictedUpToMs.get(name) ?? -1;
      this.#evictedUpToMs.set(name, Math.max(known, home.forgottenIssuedAtMs));
    }
  }

  findHeldKey(keyId: string): HeldKey | undefined {
    return this.#held.get(keyId);
  }

  /** Returns whether a key under the ticket may have been evicted. */
  mayHaveEvicted(
    pool: string,
    ticket: { readonly incarnation: string; readonly issuedAtMs: number },
  ): boolean {
    const name = formatPoolKey(pool, ticket.incarnation);
    return (this.#evictedUpToMs.get(name) ?? -1) >= ticket.issuedAtMs;
  }

  /** Lists the states of a pool's agents. */
  *listAskStates(pool: string): Iterable<AskState> {
    for (const { registered, state } of this.agents.values()) {
      if (registered.pool === pool) yield state;
    }
  }

  countAskStates(state: AskState): number {
    let count = 0;
    for (const agent of this.agents.values()) {
      if (agent.state === state) count += 1;
    }
    return count;
  }
}

function formatPoolKey(pool: string, incarnation: string): string {
  return `${pool}\n${incarnation}`;
}
