/**
 * The view that an entry of the soak `requests` has of the other processes: the
 * store's objects, which it polls, and the entries that send it pings. Also runs
 * the takeover of keys from closed incarnations.
 */

import * as takeOver from "@dandelionbank/take-over-keys";
import type {
  RegisteredAgent,
  TakeOverEffect,
  TakeOverEvent,
} from "@dandelionbank/take-over-keys";
import type { Message } from "./messages.ts";
import {
  KEY_RETENTION_MS,
  LEASE_DURATION_MS,
  PING_INTERVAL_MS,
  PING_TIMEOUT_MS,
} from "./settings.ts";
import type { StoreChange } from "./store_fake.ts";
import type { World } from "./world.ts";

export interface EntryViewOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly onLeaseRenewed: (untilMs: number) => void;
  readonly onIncarnationClosed: () => void;
  readonly onAgentLost: (target: string, incarnation: string) => void;
}

export class EntryView {
  readonly takeOverState: takeOver.TakeOverState;
  readonly #world: World;
  readonly #options: EntryViewOptions;
  readonly #agentsByTarget = new Map<string, RegisteredAgent>();
  /** Entries by incarnation, with the time of their last ping. */
  readonly #entriesByIncarnation = new Map<
    string,
    { name: string; lastSeenMs: number }
  >();
  readonly #suspectIncarnations = new Set<string>();
  readonly #incarnationByName = new Map<string, string>();
  revision = 0;
  isReady = false;
  isOwnClosed = false;

  constructor(world: World, options: EntryViewOptions) {
    this.#world = world;
    this.#options = options;
    this.takeOverState = takeOver.createTakeOverState({
      incarnation: options.incarnation,
      leaseMs: LEASE_DURATION_MS,
      askTimeoutMs: 150,
      unreachableAfterMs: 600,
      keyRetentionMs: KEY_RETENTION_MS,
      maxConcurrentAsks: 3,
    });
  }

  start(): void {
    const { name, incarnation } = this.#options;
    this.#world.store.call(name, {
      effect: () => this.#world.store.registerEntry(name, incarnation),
      then: () => this.#pollStore(),
    });
    this.#sendPings();
  }

  listAgents(pool: string): readonly RegisteredAgent[] {
    return [...this.#agentsByTarget.values()].filter((agent) =>
      agent.pool === pool
    );
  }

  findEntryName(incarnation: string): string | undefined {
    return this.#entriesByIncarnation.get(incarnation)?.name;
  }

  /** Marks the home of a key as possibly dead, so that it gets closed. */
  markSuspect(incarnation: string): void {
    this.#suspectIncarnations.add(incarnation);
  }

  receive(message: Message): void {
    if (message.type === "ping") {
      const known = this.#entriesByIncarnation.get(message.incarnation);
      const lastSeenMs = this.#nowMs;
      if (known) {
        this.#entriesByIncarnation.set(message.incarnation, {
          ...known,
          lastSeenMs,
        });
      }
      return;
    }
    if (message.type !== "keysReply") return;
    const { askId, agentIncarnation, homes } = message;
    this.#handleEvent({ type: "keysReported", askId, agentIncarnation, homes });
  }

  tick(): void {
    if (!this.isReady) return;
    this.#handleEvent({
      type: "entriesChanged",
      incarnations: this.#listLive(),
    });
    this.#closeLostEntries();
    this.#handleEvent({ type: "tick" });
  }

  get #nowMs(): number {
    return this.#world.queue.clockMs(this.#options.name);
  }

  #sendPings(): void {
    const { name: from, incarnation } = this.#options;
    for (const to of this.#world.plan.entries) {
      if (to === from) continue;
      this.#world.queue.post({ from, to }, { type: "ping", incarnation });
    }
    const run = () => this.#sendPings();
    this.#world.queue.startTimer(from, { delayMs: PING_INTERVAL_MS, run });
  }

  /** Reads the changes since the last poll and schedules the next one. */
  #pollStore(): void {
    const { name } = this.#options;
    const { store, queue, random } = this.#world;
    const sentAtMs = this.#nowMs;
    store.call(name, {
      effect: () => store.changesSince(this.revision),
      then: (changes) => {
        this.#applyChanges(changes, sentAtMs);
        const delayMs = random.int(20, 200);
        queue.startTimer(name, { delayMs, run: () => this.#pollStore() });
      },
    });
  }

  #applyChanges(changes: readonly StoreChange[], sentAtMs: number): void {
    if (!this.isReady) {
      this.#handleEvent({ type: "viewReset", revision: 0, agents: [] });
      this.isReady = true;
    }
    for (const change of changes) {
      this.revision += 1;
      this.#applyChange(change);
    }
    this.#handleEvent({ type: "revisionReached", revision: this.revision });
    if (this.isOwnClosed) this.#options.onIncarnationClosed();
    else this.#renewLease(sentAtMs + LEASE_DURATION_MS);
  }

  #renewLease(untilMs: number): void {
    this.#options.onLeaseRenewed(untilMs);
    this.#handleEvent({ type: "ownLeaseRenewed", untilMs });
  }

  #applyChange(change: StoreChange): void {
    const { revision } = this;
    switch (change.kind) {
      case "agent": {
        this.#removeAgent(change.agent.target);
        this.#agentsByTarget.set(change.agent.target, change.agent);
        const { agent } = change;
        return this.#handleEvent({ type: "agentChanged", agent, revision });
      }
      case "agentRemoved": {
        const { target } = change;
        this.#removeAgent(target);
        return this.#handleEvent({ type: "agentRemoved", target, revision });
      }
      case "entry": {
        const { name, incarnation } = change;
        const earlier = this.#incarnationByName.get(name);
        if (earlier !== undefined) this.#suspectIncarnations.add(earlier);
        if (earlier !== undefined) this.#entriesByIncarnation.delete(earlier);
        this.#incarnationByName.set(name, incarnation);
        const lastSeenMs = this.#nowMs;
        this.#entriesByIncarnation.set(incarnation, { name, lastSeenMs });
        return;
      }
      case "closing": {
        const { incarnation, successor } = change;
        this.#entriesByIncarnation.delete(incarnation);
        this.#suspectIncarnations.delete(incarnation);
        this.isOwnClosed ||= incarnation === this.#options.incarnation;
        return this.#handleEvent({
          type: "closingObserved",
          incarnation,
          successor,
        });
      }
    }
  }

  #removeAgent(target: string): void {
    const known = this.#agentsByTarget.get(target);
    this.#agentsByTarget.delete(target);
    if (known) this.#options.onAgentLost(target, known.incarnation);
  }

  #listLive(): readonly string[] {
    const aliveSinceMs = this.#nowMs - PING_TIMEOUT_MS;
    return [...this.#entriesByIncarnation]
      .filter(([incarnation, { lastSeenMs }]) =>
        lastSeenMs >= aliveSinceMs || incarnation === this.#options.incarnation
      )
      .map(([incarnation]) => incarnation);
  }

  /** Closes lost entries. Only the live entry with the lowest name does so. */
  #closeLostEntries(): void {
    const live = this.#listLive();
    const names = live.map((incarnation) =>
      this.findEntryName(incarnation) ?? ""
    );
    if (names.sort()[0] !== this.#options.name || this.isOwnClosed) return;
    for (const incarnation of this.#entriesByIncarnation.keys()) {
      if (!live.includes(incarnation)) {
        this.#suspectIncarnations.add(incarnation);
      }
    }
    for (const incarnation of this.#suspectIncarnations) {
      if (live.includes(incarnation)) {
        this.#suspectIncarnations.delete(incarnation);
      } else this.#handleEvent({ type: "entryLost", incarnation });
    }
  }

  #handleEvent(event: TakeOverEvent): void {
    const { effects } = takeOver.step(this.takeOverState, event, this.#nowMs);
    for (const effect of effects) this.#performEffect(effect);
  }

  #performEffect(effect: TakeOverEffect): void {
    const { name } = this.#options;
    const { store, queue } = this.#world;
    switch (effect.type) {
      case "writeClosing": {
        const { incarnation, successor } = effect;
        this.#suspectIncarnations.delete(incarnation);
        return store.call(name, {
          effect: () => store.close(incarnation, successor),
          then: (isOurSuccessor) => {
            if (isOurSuccessor) {
              this.#handleEvent({ type: "closingWritten", incarnation });
            }
          },
        });
      }
      case "listAgents": {
        const { incarnation } = effect;
        return store.call(name, {
          effect: () => ({
            revision: store.revision,
            agents: [...store.agents.values()],
          }),
          then: (listed) =>
            this.#handleEvent({ type: "agentsListed", incarnation, ...listed }),
        });
      }
      case "askKeys": {
        const { askId, target, agentIncarnation, incarnations } = effect;
        const ask = { askId, agentIncarnation, incarnations };
        return queue.post({ from: name, to: target }, { type: "keys", ...ask });
      }
      case "takeoverCompleted":
        return this.#world.countOutcome("takeover");
    }
  }
}
