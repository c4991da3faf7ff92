/** Which agents were lost, by the revision of the view at which that showed. */

import type { RegisteredAgent } from "./events.ts";

interface Loss {
  readonly pool: string;
  readonly revision: number;
}

/** Losses that are remembered; older ones shorten the history. */
const MAX_LOSSES = 4096;

export class AgentHistory {
  readonly #agents = new Map<string, RegisteredAgent>();
  readonly #losses: Loss[] = [];
  /** Losses after this revision are all known. */
  #sinceRevision = Infinity;
  #revision = -1;

  static create(): AgentHistory {
    return new AgentHistory();
  }

  /** Every change up to this revision has been seen. */
  get revision(): number {
    return this.#revision;
  }

  begin(revision: number, agents: readonly RegisteredAgent[]): void {
    this.#agents.clear();
    this.#losses.length = 0;
    for (const agent of agents) this.#agents.set(agent.target, agent);
    this.#sinceRevision = revision;
    this.#revision = revision;
  }

  reach(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  change(agent: RegisteredAgent, revision: number): void {
    const known = this.#agents.get(agent.target);
    if (known !== undefined && known.incarnation !== agent.incarnation) {
      this.#addLoss({ pool: known.pool, revision });
    }
    this.#agents.set(agent.target, agent);
    this.reach(revision);
  }

  remove(target: string, revision: number): void {
    const known = this.#agents.get(target);
    if (known !== undefined) this.#addLoss({ pool: known.pool, revision });
    this.#agents.delete(target);
    this.reach(revision);
  }

  /** Whether an agent of the pool may have been lost after the revision. */
  mayHaveLost(pool: string, afterRevision: number): boolean {
    if (afterRevision < this.#sinceRevision) return true;
    return this.#losses.some((loss) =>
      loss.pool === pool && loss.revision > afterRevision
    );
  }

  #addLoss(loss: Loss): void {
    this.#losses.push(loss);
    if (this.#losses.length <= MAX_LOSSES) return;
    this.#sinceRevision = this.#losses.shift()!.revision;
  }
}
