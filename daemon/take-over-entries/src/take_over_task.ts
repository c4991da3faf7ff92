/**
 * Runs the takeover core (`take-over-keys`). An incarnation is one run of an entry
 * process; its closing is the stored object after which it may arbitrate no keys.
 * An entry takes over the keys of a lost entry in three steps: it writes a closing
 * of the lost incarnation to the platform, lists the agents after that, and asks
 * each agent for the keys of the closed incarnation that it knows.
 */

import type { PlatformClient } from "@dandelionbank/call-platform";
import type { Logger } from "@dandelionbank/log-events";
import type { AgentClient } from "@dandelionbank/peer-api";
import { CoreRunner } from "@dandelionbank/run-core";
import {
  createTakeOverState,
  findArbiter,
  findHome,
  type HomeLookup,
  type HomeQuery,
  step,
  type TakeOverEffect,
  type TakeOverEvent,
  type TakeOverState,
} from "@dandelionbank/take-over-keys";
import type {
  IncarnationClosing,
  View,
  WriteResult,
} from "@dandelionbank/types";
import type { WatchEvent } from "@dandelionbank/watch-objects";
import { randomUUID } from "node:crypto";
import {
  parseAgents,
  parseClosing,
  toTakeOverEvents,
} from "./take_over_events.ts";
import { setTimeout as wait } from "node:timers/promises";

const TICK_MS = 200;
const RETRY_MS = 500;

export interface TakeOverTaskOptions {
  readonly incarnation: string;
  /** How long an entry may rely on a check that its incarnation is not closed. */
  readonly leaseMs: number;
  readonly store: Pick<PlatformClient, "list" | "put">;
  readonly logger: Logger;
  readonly findAgent: (
    target: string,
    incarnation: string,
  ) => AgentClient | undefined;
}

const TIMING = {
  askTimeoutMs: 500,
  unreachableAfterMs: 1_500,
  keyRetentionMs: 600_000,
  maxConcurrentAsks: 64,
} as const;

export class TakeOverTask {
  readonly #options: TakeOverTaskOptions;
  readonly #runner: CoreRunner<TakeOverState, TakeOverEvent, TakeOverEffect>;
  readonly #timer: NodeJS.Timeout;
  readonly #entryNames = new Map<string, string>();
  #knownClosings = new Set<string>();
  #isStopped = false;

  private constructor(options: TakeOverTaskOptions) {
    this.#options = options;
    const { incarnation, leaseMs } = options;
    this.#runner = CoreRunner.create({
      initial: createTakeOverState({ ...TIMING, incarnation, leaseMs }),
      step,
      perform: (effect) => this.#perform(effect),
      readNowMs: () => performance.now(),
    });
    this.#timer = setInterval(
      () => this.#runner.post({ type: "tick" }),
      TICK_MS,
    );
  }

  static create(options: TakeOverTaskOptions): TakeOverTask {
    return new TakeOverTask(options);
  }

  findHome(query: HomeQuery): HomeLookup {
    return findHome(this.#runner.state, query);
  }

  /** Returns the incarnation that arbitrates another's keys, as far as is known. */
  arbiterOf(incarnation: string): string | undefined {
    return findArbiter(this.#runner.state.closings, incarnation);
  }

  applyWatchEvent(event: WatchEvent): void {
    for (const takeOverEvent of toTakeOverEvents(event)) {
      this.#runner.post(takeOverEvent);
    }
  }

  applyView(view: View): void {
    const entries = [...view.entries.values()].map(({ value }) => value);
    for (const { name, incarnation } of entries) {
      this.#entryNames.set(incarnation, name);
    }
    this.#runner.post({
      type: "entriesChanged",
      incarnations: entries.map(({ incarnation }) => incarnation),
    });
    for (const { value } of view.closings.values()) this.#recordClosing(value);
  }

  /** Records that this entry's own incarnation is not closed before `untilMs`. */
  renewOwnLease(untilMs: number): void {
    this.#runner.post({ type: "ownLeaseRenewed", untilMs });
  }

  /** Reports an entry that does not answer, even on new connections. */
  reportEntryLost(incarnation: string): void {
    this.#runner.post({ type: "entryLost", incarnation });
  }

  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#runner.stop();
  }

  #recordClosing({ entry, incarnation, successor }: IncarnationClosing): void {
    if (this.#knownClosings.has(incarnation)) return;
    this.#knownClosings.add(incarnation);
    this.#options.logger.log("incarnationClosed", {
      entry,
      incarnation,
      successor,
    });
    this.#runner.post({ type: "closingObserved", incarnation, successor });
  }

  #perform(effect: TakeOverEffect): void {
    switch (effect.type) {
      case "writeClosing":
        return void this.#retryUntilDone(() => this.#writeClosing(effect));
      case "listAgents":
        return void this.#retryUntilDone(() =>
          this.#listAgents(effect.incarnation)
        );
      case "askKeys":
        return void this.#askKeys(effect);
      case "takeoverCompleted":
        return this.#options.logger.log("keysTakenOver", {
          incarnation: effect.incarnation,
          heldKeys: effect.heldKeys,
          unreachableAgents: effect.unreachableAgents,
          elapsedMs: Math.round(effect.elapsedMs),
        });
    }
  }

  async #writeClosing(closing: {
    readonly incarnation: string;
    readonly successor: string;
  }): Promise<void> {
    const { incarnation, successor } = closing;
    const value: IncarnationClosing = {
      entry: this.#entryNames.get(incarnation) ?? "unknown",
      incarnation,
      successor,
    };
    const written = await this.#putClosing(value);
    if (written.kind === "written") {
      this.#knownClosings.add(incarnation);
      this.#runner.post({ type: "closingWritten", incarnation });
      return;
    }
    const current = written.current && parseClosing(written.current);
    if (current === undefined) {
      throw new Error("Closing was changed while it was being written");
    }
    this.#recordClosing(current);
  }

  /** Writes a closing if there is none, or only a malformed one. */
  async #putClosing(value: IncarnationClosing): Promise<WriteResult> {
    const target = { kind: "closing", name: value.incarnation } as const;
    const put = (expectedRevision: number | undefined) =>
      this.#options.store.put(target, value, {
        expectedRevision,
        changeId: randomUUID(),
      });
    const created = await put(undefined);
    const current = created.kind === "conflict" ? created.current : undefined;
    const isMalformed = current !== undefined &&
      parseClosing(current) === undefined;
    return isMalformed ? await put(current.revision) : created;
  }

  async #listAgents(incarnation: string): Promise<void> {
    const list = await this.#options.store.list("agent");
    this.#runner.post({
      type: "agentsListed",
      incarnation,
      revision: list.revision,
      agents: parseAgents(list.items),
    });
  }

  async #askKeys(request: {
    readonly askId: string;
    readonly target: string;
    readonly agentIncarnation: string;
    readonly incarnations: readonly string[];
  }): Promise<void> {
    const { askId, target, agentIncarnation, incarnations } = request;
    const agent = this.#options.findAgent(target, agentIncarnation);
    try {
      if (agent === undefined) throw new Error("Agent is not in the view");
      const answer = await agent.askKeys.mutate({
        incarnations: [...incarnations],
      });
      this.#runner.post({
        type: "keysReported",
        askId,
        agentIncarnation: answer.agentIncarnation,
        homes: answer.homes,
      });
    } catch {
      this.#runner.post({ type: "keysAskFailed", askId });
    }
  }

  /** Retries without a limit: a takeover waits until the platform is reachable. */
  async #retryUntilDone(operation: () => Promise<void>): Promise<void> {
    while (!this.#isStopped) {
      try {
        return await operation();
      } catch (error) {
        const message = (error as Error).message;
        this.#options.logger.log("takeOverRetried", { message });
        await wait(RETRY_MS * (0.5 + Math.random()));
      }
    }
  }
}
