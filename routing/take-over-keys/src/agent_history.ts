/** Records lost agents by the revision of the view that showed the loss. */

import type { RegisteredAgent } from "./events.ts";

interface AgentLoss {
  readonly pool: string;
  readonly revision: number;
}

/** Maximum number of losses kept; dropping older ones shortens the history. */
const MAX_LOSSES = 4096;

export class AgentHistory {
  readonly #agents = new Map<string, RegisteredAgent>();
  readonly #losses: AgentLoss[] = [];
  /** All losses after this revision are known. */
  #completeSinceRevision = Infinity;
  #revision = -1;

  static create(): AgentHistory {
    return new AgentHistory();
  }

  /** Every change up to this revision has been recorded. */
  get revision(): number {
    return this.#revision;
  }

  reset(revision: number, agents: readonly RegisteredAgent[]): void {
    this.#agents.clear();
    this.#losses.length = 0;
    for (const agent of agents) this.#agents.set(agent.target, agent);
    this.#completeSinceRevision = revision;
    this.#revision = revision;
  }

  advanceTo(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  recordChange(agent: RegisteredAgent, revision: number): void {
    const known = this.#agents.get(agent.target);
    if (known !== undefined && known.incarnation !== agent.incarnation) {
      this.#addLoss({ pool: known.pool, revision });
    }
    this.#agents.set(agent.target, agent);
    this.advanceTo(revision);
  }

  recordRemoval(target: string, revision: number): void {
    const known = this.#agents.get(target);
    if (known !== undefined) this.#addLoss({ pool: known.pool, revision });
    this.#agents.delete(target);
    this.advanceTo(revision);
  }

  /** Returns whether an agent of the pool may have been lost after a revision. */
  mayHaveLost(pool: string, afterRevision: number): boolean {
    if (afterRevision < this.#completeSinceRevision) return true;
    return this.#losses.some((loss) =>
      loss.pool === pool && loss.revision > afterRevision
    );
  }

  #addLoss(loss: AgentLoss): void {
    this.#losses.push(loss);
    if (this.#losses.length <= MAX_LOSSES) return;
    this.#completeSinceRevision = this.#losses.shift()!.revision;
  }
}
