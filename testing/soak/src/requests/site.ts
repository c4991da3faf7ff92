/** Starts, kills, stops and replaces the nodes of a run of the soak `requests`. */

import type { StopReason } from "@dandelionbank/admit-attempts";
import { AgentNode, type AgentSpec } from "./agent_node.ts";
import { CallerNode } from "./caller_node.ts";
import { EntryNode } from "./entry_node.ts";
import type { World } from "./world.ts";
import { addTally } from "../soak.ts";

export class Site {
  readonly callers: readonly CallerNode[];
  readonly #world: World;
  readonly #entriesByName = new Map<string, EntryNode>();
  readonly #agentsByTarget = new Map<string, AgentNode>();

  constructor(world: World) {
    this.#world = world;
    const { entries, agents, callers } = world.plan;
    for (const spec of agents) this.#startAgent(spec);
    for (const name of entries) this.#startEntry(name);
    const listEntries = () => this.listServing();
    this.callers = callers.map((name) =>
      new CallerNode(world, { name, listEntries })
    );
  }

  listServing(): readonly EntryNode[] {
    const { queue } = this.#world;
    return [...this.#entriesByName.values()].filter(({ name, isServing }) =>
      isServing && queue.isRunning(name)
    );
  }

  killEntry(name: string, downMs: number): void {
    const { queue } = this.#world;
    const entry = this.#entriesByName.get(name);
    if (entry === undefined || !queue.isRunning(name)) return;
    this.#tallyChecks(entry);
    queue.stop(name);
    queue.runAt(queue.nowMs + downMs, () => this.#startEntry(name));
  }

  killAgent(spec: AgentSpec, downMs: number): void {
    const { queue } = this.#world;
    const agent = this.#agentsByTarget.get(spec.target);
    if (agent === undefined || !queue.isRunning(spec.target)) return;
    addTally(this.#world.invariants, agent.countChecks());
    queue.stop(spec.target);
    for (const entry of this.#entriesByName.values()) {
      if (!queue.isRunning(entry.name) || queue.isFrozen(entry.name)) continue;
      entry.breakConnections(spec.target);
    }
    queue.runAt(queue.nowMs + downMs, () => this.#startAgent(spec));
  }

  /** Replaces an agent's VM: its object is deleted before the new agent registers. */
  replaceAgent(spec: AgentSpec, downMs: number): void {
    const { queue, store } = this.#world;
    if (!queue.isRunning(spec.target)) return;
    this.killAgent(spec, downMs);
    const atMs = queue.nowMs + Math.floor(downMs / 2);
    queue.runAt(atMs, () => store.removeAgent(spec.target));
  }

  /** Starts a stop. Half of the stops are withdrawn; the others end the agent once it is drained. */
  stopAgent(
    spec: AgentSpec,
    stop: { readonly durationMs: number; readonly reason: StopReason },
  ): void {
    const { queue, random } = this.#world;
    const agent = this.#agentsByTarget.get(spec.target);
    const { target } = spec;
    if (!agent || !queue.isRunning(target) || queue.isFrozen(target)) return;
    this.#agentsToEnd.delete(agent);
    const isWithdrawn = random.chance(0.5);
    if (!isWithdrawn) this.#agentsToEnd.add(agent);
    agent.startStop(stop.reason);
    if (!isWithdrawn) return;
    queue.startTimer(target, {
      delayMs: stop.durationMs,
      run: () => agent.withdrawStop(stop.reason),
    });
  }

  /** Runs the checks on every node at the end of the run. */
  checkEnd(): void {
    for (const caller of this.callers) caller.checkEnd();
    for (const entry of this.#entriesByName.values()) {
      if (!this.#world.queue.isRunning(entry.name)) continue;
      this.#tallyChecks(entry);
      this.#world.checkInvariant("everyCallerAnswered", {
        holds: entry.openCallerCount === 0,
        detail: `${entry.openCallerCount} wait at ${entry.incarnation}`,
      });
    }
    for (const agent of this.#agentsByTarget.values()) {
      addTally(this.#world.invariants, agent.countChecks());
    }
  }

  /** Agents whose stop is not withdrawn and that end once they are drained. */
  readonly #agentsToEnd = new Set<AgentNode>();

  #startEntry(name: string): void {
    this.#entriesByName.set(name, new EntryNode(this.#world, name));
  }

  #startAgent(spec: AgentSpec): void {
    if (this.#world.queue.isRunning(spec.target)) return;
    const agent: AgentNode = new AgentNode(this.#world, {
      spec: spec,
      onDrained: () => {
        if (!this.#agentsToEnd.delete(agent)) return;
        this.#world.countFault("agentDrained");
        const { queue } = this.#world;
        queue.runAt(queue.nowMs, () => this.killAgent(spec, 200));
      },
    });
    this.#agentsByTarget.set(spec.target, agent);
  }

  #tallyChecks(entry: EntryNode): void {
    addTally(this.#world.invariants, entry.countChecks());
  }
}
