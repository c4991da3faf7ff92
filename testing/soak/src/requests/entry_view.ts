/**
 * What an entry of the soak `requests` knows of the others: the store's
 * objects, late, and who answers its beats; and its takeovers.
 */

import * as takeOver from "@dandelionbank/take-over-keys";
import type {
  RegisteredAgent,
  TakeOverEffect,
  TakeOverEvent,
} from "@dandelionbank/take-over-keys";
import type { Message } from "./messages.ts";
import { BEAT_MS, KEY_LIFE_MS, LEASE_MS, SILENCE_MS } from "./settings.ts";
import type { StoreChange } from "./store_fake.ts";
import type { World } from "./world.ts";

export interface EntryViewOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly onArbiterConfirmed: (untilMs: number) => void;
  readonly onArbiterClosed: () => void;
  readonly onAgentLost: (target: string, incarnation: string) => void;
}

export class EntryView {
  readonly takeOver: takeOver.TakeOverState;
  readonly #world: World;
  readonly #options: EntryViewOptions;
  readonly #agents = new Map<string, RegisteredAgent>();
  /** Entries by incarnation, with when they were last heard. */
  readonly #entries = new Map<string, { name: string; heardAtMs: number }>();
  readonly #suspects = new Set<string>();
  readonly #names = new Map<string, string>();
  revision = 0;
  isReady = false;
  isClosed = false;

  constructor(world: World, options: EntryViewOptions) {
    this.#world = world;
    this.#options = options;
    this.takeOver = takeOver.createTakeOverState({
      incarnation: options.incarnation,
      leaseMs: LEASE_MS,
      askTimeoutMs: 150,
      unreachableAfterMs: 600,
      keyRetentionMs: KEY_LIFE_MS,
      maxConcurrentAsks: 3,
    });
  }

  start(): void {
    const { name, incarnation } = this.#options;
    this.#world.store.call(name, {
      effect: () => this.#world.store.registerEntry(name, incarnation),
      then: () => this.#sync(),
    });
    this.#beat();
  }

  listAgents(pool: string): readonly RegisteredAgent[] {
    return [...this.#agents.values()].filter((agent) => agent.pool === pool);
  }

  nameOf(incarnation: string): string | undefined {
    return this.#entries.get(incarnation)?.name;
  }

  /** A key's home is not known to live. */
  suspect(incarnation: string): void {
    this.#suspects.add(incarnation);
  }

  receive(message: Message): void {
    if (message.type === "beat") {
      const known = this.#entries.get(message.incarnation);
      const heardAtMs = this.#nowMs;
      if (known) {
        this.#entries.set(message.incarnation, { ...known, heardAtMs });
      }
      return;
    }
    if (message.type !== "keysReply") return;
    const { askId, agentIncarnation, homes } = message;
    this.#feed({ type: "keysReported", askId, agentIncarnation, homes });
  }

  passTime(): void {
    if (!this.isReady) return;
    this.#feed({
      type: "entriesChanged",
      incarnations: this.#listLive(),
    });
    this.#closeLost();
    this.#feed({ type: "tick" });
  }

  get #nowMs(): number {
    return this.#world.queue.clockMs(this.#options.name);
  }

  #beat(): void {
    const { name: from, incarnation } = this.#options;
    for (const to of this.#world.plan.entries) {
      if (to === from) continue;
      this.#world.queue.post({ from, to }, { type: "beat", incarnation });
    }
    const run = () => this.#beat();
    this.#world.queue.startTimer(from, { delayMs: BEAT_MS, run });
  }

  /** Reads the changes since the last time, and again a while later. */
  #sync(): void {
    const { name } = this.#options;
    const { store, queue, random } = this.#world;
    const sentAtMs = this.#nowMs;
    store.call(name, {
      effect: () => store.changesSince(this.revision),
      then: (changes) => {
        this.#takeChanges(changes, sentAtMs);
        const delayMs = random.int(20, 200);
        queue.startTimer(name, { delayMs, run: () => this.#sync() });
      },
    });
  }

  #takeChanges(changes: readonly StoreChange[], sentAtMs: number): void {
    if (!this.isReady) {
      this.#feed({ type: "viewReset", revision: 0, agents: [] });
      this.isReady = true;
    }
    for (const change of changes) {
      this.revision += 1;
      this.#takeChange(change);
    }
    this.#feed({ type: "revisionReached", revision: this.revision });
    if (this.isClosed) this.#options.onArbiterClosed();
    else this.#confirm(sentAtMs + LEASE_MS);
  }

  #confirm(untilMs: number): void {
    this.#options.onArbiterConfirmed(untilMs);
    this.#feed({ type: "ownLeaseRenewed", untilMs });
  }

  #takeChange(change: StoreChange): void {
    const { revision } = this;
    switch (change.kind) {
      case "agent": {
        this.#loseAgent(change.agent.target);
        this.#agents.set(change.agent.target, change.agent);
        const { agent } = change;
        return this.#feed({ type: "agentChanged", agent, revision });
      }
      case "agentRemoved": {
        const { target } = change;
        this.#loseAgent(target);
        return this.#feed({ type: "agentRemoved", target, revision });
      }
      case "entry": {
        const { name, incarnation } = change;
        const earlier = this.#names.get(name);
        if (earlier !== undefined) this.#suspects.add(earlier);
        if (earlier !== undefined) this.#entries.delete(earlier);
        this.#names.set(name, incarnation);
        const heardAtMs = this.#nowMs;
        this.#entries.set(incarnation, { name, heardAtMs });
        return;
      }
      case "closing": {
        const { incarnation, successor } = change;
        this.#entries.delete(incarnation);
        this.#suspects.delete(incarnation);
        this.isClosed ||= incarnation === this.#options.incarnation;
        return this.#feed({ type: "closingObserved", incarnation, successor });
      }
    }
  }

  #loseAgent(target: string): void {
    const known = this.#agents.get(target);
    this.#agents.delete(target);
    if (known) this.#options.onAgentLost(target, known.incarnation);
  }

  #listLive(): readonly string[] {
    const sinceMs = this.#nowMs - SILENCE_MS;
    return [...this.#entries]
      .filter(([incarnation, { heardAtMs }]) =>
        heardAtMs >= sinceMs || incarnation === this.#options.incarnation
      )
      .map(([incarnation]) => incarnation);
  }

  /** The first live entry by name closes those that are lost. */
  #closeLost(): void {
    const live = this.#listLive();
    const names = live.map((incarnation) => this.nameOf(incarnation) ?? "");
    if (names.sort()[0] !== this.#options.name || this.isClosed) return;
    for (const incarnation of this.#entries.keys()) {
      if (!live.includes(incarnation)) this.#suspects.add(incarnation);
    }
    for (const incarnation of this.#suspects) {
      if (live.includes(incarnation)) this.#suspects.delete(incarnation);
      else this.#feed({ type: "entryLost", incarnation });
    }
  }

  #feed(event: TakeOverEvent): void {
    const { effects } = takeOver.step(this.takeOver, event, this.#nowMs);
    for (const effect of effects) this.#apply(effect);
  }

  #apply(effect: TakeOverEffect): void {
    const { name } = this.#options;
    const { store, queue } = this.#world;
    switch (effect.type) {
      case "writeClosing": {
        const { incarnation, successor } = effect;
        this.#suspects.delete(incarnation);
        return store.call(name, {
          effect: () => store.close(incarnation, successor),
          then: (isOwn) => {
            if (isOwn) this.#feed({ type: "closingWritten", incarnation });
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
            this.#feed({ type: "agentsListed", incarnation, ...listed }),
        });
      }
      case "askKeys": {
        const { askId, target, agentIncarnation, incarnations } = effect;
        const ask = { askId, agentIncarnation, incarnations };
        return queue.post({ from: name, to: target }, { type: "keys", ...ask });
      }
      case "takeoverCompleted":
        return this.#world.outcome("takeover");
    }
  }
}
