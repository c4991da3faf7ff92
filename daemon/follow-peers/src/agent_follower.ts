/**
 * Pushes this entry's view to agents: their planned stop, the closings of
 * incarnations and the timeouts. Only a few entries, selected by rendezvous
 * hashing, push to an agent. They push at once when the view changes for agents,
 * and otherwise at an interval. An agent at a given view revision has received
 * every closing up to it, so only later closings are sent: the number of closings
 * grows for the whole lifetime of a site.
 */

import type { TextHash } from "@dandelionbank/hash-text";
import { type AgentClient, createAgentClient } from "@dandelionbank/peer-api";
import type {
  AgentRegistration,
  AgentStatus,
  AgentView,
  View,
} from "@dandelionbank/types";
import type { PeerAccess } from "./peer_access.ts";
import { pickByRendezvousHash } from "./rendezvous_hash.ts";

const PUSH_INTERVAL_MS = 1_000;
/** Number of entries that push the view to one agent. */
const ENTRIES_PER_AGENT = 3;
/** Consecutive failures after which an agent counts as unreachable. */
const FAILURES_UNTIL_UNREACHABLE = 2;

export interface AgentFollowerOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly access: PeerAccess;
  readonly hash: TextHash;
  /** Returns whether the platform lists the target's VM as leaving. */
  readonly isLeaving: (target: string) => boolean;
  /** Called with each status that an agent returns for a push. */
  readonly onStatus: (status: AgentStatus) => void;
  /** Called each time that an agent does not answer a push. */
  readonly onNoAnswer: (registration: AgentRegistration) => void;
}

interface FollowedAgent {
  readonly registration: AgentRegistration;
  /** Opened at the first call, since an entry calls few of a fleet's agents. */
  client: AgentClient | undefined;
  status: AgentStatus | undefined;
  failures: number;
  isPushing: boolean;
  /** True if the view has changed for agents since the last push began. */
  needsPush: boolean;
}

export class AgentFollower {
  readonly #options: AgentFollowerOptions;
  readonly #agents = new Map<string, FollowedAgent>();
  readonly #timer: NodeJS.Timeout;
  #view: View | undefined;
  #selectedTargets = new Set<string>();

  private constructor(options: AgentFollowerOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#pushToAll(), PUSH_INTERVAL_MS);
  }

  static create(options: AgentFollowerOptions): AgentFollower {
    return new AgentFollower(options);
  }

  applyView(view: View): void {
    const before = this.#view;
    this.#view = view;
    if (before?.agents !== view.agents) this.#updateAgents(view);
    if (before?.agents !== view.agents || before?.entries !== view.entries) {
      this.#selectAgents(view);
    }
    if (isAgentViewUnchanged(before, view)) return;
    for (const agent of this.#agents.values()) agent.needsPush = true;
    this.#pushToAll();
  }

  /** Returns the client of an agent, unless it runs as another incarnation. */
  findClient(target: string, incarnation: string): AgentClient | undefined {
    const agent = this.#agents.get(target);
    return agent?.registration.incarnation === incarnation
      ? this.#getClient(agent)
      : undefined;
  }

  /** Returns the agent's last status, if this entry pushes to it and it has answered. */
  statusOf(target: string): AgentStatus | undefined {
    return this.#agents.get(target)?.status;
  }

  /** True after several pushes in a row that the agent did not answer. */
  isUnreachable(target: string): boolean {
    return (this.#agents.get(target)?.failures ?? 0) >=
      FAILURES_UNTIL_UNREACHABLE;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #updateAgents(view: View): void {
    for (const [name, { registration }] of this.#agents) {
      const current = view.agents.get(name)?.value;
      if (current?.incarnation === registration.incarnation) continue;
      this.#agents.delete(name);
    }
    for (const { name, value } of view.agents.values()) {
      if (this.#agents.has(name)) continue;
      this.#agents.set(name, {
        registration: value,
        client: undefined,
        status: undefined,
        failures: 0,
        isPushing: false,
        needsPush: true,
      });
    }
  }

  #getClient(agent: FollowedAgent): AgentClient {
    const { peerUrl } = agent.registration;
    agent.client ??= createAgentClient({ ...this.#options.access, peerUrl });
    return agent.client;
  }

  #selectAgents(view: View): void {
    const { entry, hash } = this.#options;
    const entries = [...view.entries.keys()];
    const selected = [...view.agents.keys()].filter((key) =>
      pickByRendezvousHash(entries, { key, count: ENTRIES_PER_AGENT, hash })
        .includes(entry)
    );
    this.#selectedTargets = new Set(selected);
  }

  #pushToAll(): void {
    if (this.#view === undefined) return;
    for (const [name, agent] of this.#agents) {
      if (this.#selectedTargets.has(name)) void this.#push(agent, this.#view);
    }
  }

  async #push(agent: FollowedAgent, view: View): Promise<void> {
    if (agent.isPushing) return;
    agent.isPushing = true;
    agent.needsPush = false;
    try {
      const agentView = this.#createAgentView(agent, view);
      agent.status = await this.#getClient(agent).applyView.mutate({
        ...agentView,
        closings: [...agentView.closings],
      });
      agent.failures = 0;
      this.#options.onStatus(agent.status);
    } catch {
      agent.failures += 1;
      this.#options.onNoAnswer(agent.registration);
    }
    agent.isPushing = false;
    if (agent.needsPush && this.#view !== undefined) {
      await this.#push(agent, this.#view);
    }
  }

  #createAgentView(
    { registration, status }: FollowedAgent,
    view: View,
  ): AgentView {
    const { entry, incarnation, isLeaving } = this.#options;
    const { name } = registration.target;
    const stop = view.stops.get(name)?.value;
    const config = view.config?.value;
    return {
      entry,
      entryIncarnation: incarnation,
      revision: view.revision,
      ...(stop === undefined ? {} : { stop }),
      isLeaving: isLeaving(name),
      closings: [...view.closings.values()]
        .filter(({ revision }) => revision > (status?.viewRevision ?? 0))
        .map(({ value }) => value),
      progressTimeoutMs: config?.progressTimeoutMs ?? 2_000,
      drainTimeoutMs: config?.drainTimeoutMs ?? 30_000,
    };
  }
}

function isAgentViewUnchanged(before: View | undefined, after: View): boolean {
  return before?.agents === after.agents && before?.stops === after.stops &&
    before?.closings === after.closings && before?.config === after.config;
}
