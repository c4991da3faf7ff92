/** The nodes of a run of the soak `requests`, and what happens to them. */

import type { StopReason } from "@dandelionbank/admit-attempts";
import { AgentNode, type AgentPlace } from "./agent_node.ts";
import { CallerNode } from "./caller_node.ts";
import { EntryNode } from "./entry_node.ts";
import type { World } from "./world.ts";
import { addTally } from "../soak.ts";

export class Site {
  readonly callers: readonly CallerNode[];
  readonly #world: World;
  readonly #entries = new Map<string, EntryNode>();
  readonly #agents = new Map<string, AgentNode>();

  constructor(world: World) {
    this.#world = world;
    const { entries, agents, callers } = world.plan;
    for (const place of agents) this.#startAgent(place);
    for (const name of entries) this.#startEntry(name);
    const findEntries = () => this.listServing();
    this.callers = callers.map((name) =>
      new CallerNode(world, { name, findEntries })
    );
  }

  listServing(): readonly EntryNode[] {
    const { queue } = this.#world;
    return [...this.#entries.values()].filter(({ name, isServing }) =>
      isServing && queue.isRunning(name)
    );
  }

  killEntry(name: string, downMs: number): void {
    const { queue } = this.#world;
    const entry = this.#entries.get(name);
    if (entry === undefined || !queue.isRunning(name)) return;
    this.#countEntry(entry);
    queue.stop(name);
    queue.runAt(queue.nowMs + downMs, () => this.#startEntry(name));
  }

  killAgent(place: AgentPlace, downMs: number): void {
    const { queue } = this.#world;
    const agent = this.#agents.get(place.target);
    if (agent === undefined || !queue.isRunning(place.target)) return;
    addTally(this.#world.invariants, agent.countChecks());
    queue.stop(place.target);
    for (const entry of this.#entries.values()) {
      if (!queue.isRunning(entry.name) || queue.isFrozen(entry.name)) continue;
      entry.breakConnections(place.target);
    }
    queue.runAt(queue.nowMs + downMs, () => this.#startAgent(place));
  }

  /** The machine goes for good; its object goes with it, and a new one comes. */
  replaceAgent(place: AgentPlace, downMs: number): void {
    const { queue, store } = this.#world;
    if (!queue.isRunning(place.target)) return;
    this.killAgent(place, downMs);
    const atMs = queue.nowMs + Math.floor(downMs / 2);
    queue.runAt(atMs, () => store.removeAgent(place.target));
  }

  /** Begins a stop; withdrawn in half of the cases, else it ends the agent. */
  stopAgent(
    place: AgentPlace,
    stop: { readonly forMs: number; readonly reason: StopReason },
  ): void {
    const { queue, random } = this.#world;
    const agent = this.#agents.get(place.target);
    const { target } = place;
    if (!agent || !queue.isRunning(target) || queue.isFrozen(target)) return;
    this.#ending.delete(agent);
    const withdrawn = random.chance(0.5);
    if (!withdrawn) this.#ending.add(agent);
    agent.beginStop(stop.reason);
    if (!withdrawn) return;
    queue.startTimer(target, {
      delayMs: stop.forMs,
      run: () => agent.withdrawStop(stop.reason),
    });
  }

  /** Checks that hold of every node when all is over. */
  checkEnd(): void {
    for (const caller of this.callers) caller.checkEnd();
    for (const entry of this.#entries.values()) {
      if (!this.#world.queue.isRunning(entry.name)) continue;
      this.#countEntry(entry);
      this.#world.check("everyCallerAnswered", {
        holds: entry.openCallers === 0,
        detail: `${entry.openCallers} wait at ${entry.incarnation}`,
      });
    }
    for (const agent of this.#agents.values()) {
      addTally(this.#world.invariants, agent.countChecks());
    }
  }

  readonly #ending = new Set<AgentNode>();

  #startEntry(name: string): void {
    this.#entries.set(name, new EntryNode(this.#world, name));
  }

  #startAgent(place: AgentPlace): void {
    if (this.#world.queue.isRunning(place.target)) return;
    const agent: AgentNode = new AgentNode(this.#world, {
      place,
      onDrained: () => {
        if (!this.#ending.delete(agent)) return;
        this.#world.fault("agentDrained");
        const { queue } = this.#world;
        queue.runAt(queue.nowMs, () => this.killAgent(place, 200));
      },
    });
    this.#agents.set(place.target, agent);
  }

  #countEntry(entry: EntryNode): void {
    addTally(this.#world.invariants, entry.countChecks());
  }
}
