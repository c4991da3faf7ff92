/** The coordinator's way to one rank: by its agent, or past it. */

import type { Leadership } from "@dandelionbank/lead-group";
import { EngineClient } from "@dandelionbank/platform-adapter";
import {
  createRankClient,
  encodeMap,
  encodeMapChange,
  type OrderReply,
  type PollReply,
  type RankClient,
  type RankHandlers,
} from "@dandelionbank/rank-api";
import type {
  ExpertMap,
  GroupOrder,
  GroupOrderResult,
  HeldExperts,
  RankReport,
} from "@dandelionbank/types";

/** Agents are near; one that takes longer is frozen or gone. */
const CALL_TIMEOUT_MS = 200;
/** Calls of one round are sent, and their answers read, one after another. */
const CALL_TIMEOUT_PER_LINK_MS = 8;
/** Polls that fail in a row before a rank is asked less often. */
const MAX_FAILURES = 3;
const FAILED_INTERVAL_MS = 500;

export interface RankLinkOptions {
  /** `IP:PORT` of the agent. */
  readonly agentAddress: string;
  /** `IP:PORT` of the engine. */
  readonly engineAddress: string;
  /** The agent in this process, for the coordinator's own rank. */
  readonly local: RankHandlers | undefined;
  /** Ways that the coordinator uses at the same time. */
  readonly linkCount: number;
}

/** Whether an order goes by the agent, past it, or past it if it is silent. */
export type OrderWay = "agent" | "direct" | "agentOrDirect";

export interface LinkPoll {
  readonly leadership: Leadership;
  readonly withChoices: boolean;
}

interface PreparedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

export class RankLink {
  readonly #options: RankLinkOptions;
  readonly #client: RankClient | undefined;
  #engine: EngineClient | undefined;
  #lastSnapshot = 0;
  #failures = 0;
  #askedAtMs = 0;
  #lastFailure = "not asked";
  /** The last map that the agent has passed on. */
  #base: PreparedMap | undefined;

  private constructor(options: RankLinkOptions) {
    this.#options = options;
    const { local, agentAddress, linkCount } = options;
    if (local !== undefined) return;
    this.#client = createRankClient({
      address: agentAddress,
      timeoutMs: CALL_TIMEOUT_MS + linkCount * CALL_TIMEOUT_PER_LINK_MS,
    });
  }

  static create(options: RankLinkOptions): RankLink {
    return new RankLink(options);
  }

  /** Why the agent did not answer last. */
  get lastFailure(): string {
    return this.#lastFailure;
  }

  /** `undefined` if the agent does not answer. */
  async poll(
    { leadership, withChoices }: LinkPoll,
  ): Promise<PollReply | undefined> {
    const nowMs = performance.now();
    const isFailing = this.#failures >= MAX_FAILURES;
    if (isFailing && nowMs - this.#askedAtMs < FAILED_INTERVAL_MS) {
      return undefined;
    }
    this.#askedAtMs = nowMs;
    const request = {
      ...leadership,
      withChoices,
      sinceSnapshot: this.#lastSnapshot,
    };
    try {
      const reply = await (this.#options.local?.poll(request) ??
        this.#client!.calls.poll.mutate(request));
      this.#failures = 0;
      if (reply.kind === "polled" && reply.choices !== undefined) {
        this.#lastSnapshot = reply.choices.snapshot;
      }
      return reply as PollReply;
    } catch (error) {
      this.#failures += 1;
      this.#lastFailure = String(error);
      return undefined;
    }
  }

  /** Reads the engine past its agent. */
  readReport(): Promise<RankReport | undefined> {
    return this.#openEngine().readReport();
  }

  /** The term of a newer coordinator if the agent knows one. */
  async order(
    { leadership, order, epoch, way }: {
      readonly leadership: Leadership;
      readonly order: GroupOrder;
      readonly epoch: number;
      readonly way: OrderWay;
    },
  ): Promise<GroupOrderResult | { readonly newerTerm: number }> {
    if (way === "direct") return await this.#orderEngine(order, epoch);
    const request = { ...leadership, order, epoch };
    try {
      const reply = await (this.#options.local?.order(request) ??
        this.#callOrder(request));
      if (reply.kind === "newer") return { newerTerm: reply.term };
      return reply.result;
    } catch (error) {
      this.#lastFailure = String(error);
      this.#base = undefined;
      // The agent may be gone while its engine waits for the order.
      return way === "agentOrDirect"
        ? await this.#orderEngine(order, epoch)
        : "lost";
    }
  }

  async readExperts(): Promise<HeldExperts | undefined> {
    try {
      return await (this.#options.local?.readExperts() ??
        this.#client!.calls.readExperts.query());
    } catch (error) {
      this.#lastFailure = String(error);
      return undefined;
    }
  }

  close(): void {
    this.#client?.close();
    void this.#engine?.close().catch(() => undefined);
  }

  async #callOrder(request: SentOrder): Promise<OrderReply> {
    const { order, ...rest } = request;
    const { calls } = this.#client!;
    if (order.kind !== "prepare") {
      return await calls.order.mutate({ ...rest, order });
    }
    const { version, map } = order;
    const reply = await this.#callChange(request, map) ??
      await calls.order.mutate({
        ...rest,
        order: { ...order, map: encodeMap(map) },
      });
    const isTaken = reply.kind === "ordered" && reply.result === "done";
    this.#base = isTaken ? { version, map } : undefined;
    return reply;
  }

  /** Sends only what changes; `undefined` if the agent needs the whole map. */
  async #callChange(
    { order, ...rest }: SentOrder,
    map: ExpertMap,
  ): Promise<OrderReply | undefined> {
    const base = this.#base;
    if (order.kind !== "prepare" || base === undefined) return undefined;
    const reply = await this.#client!.calls.prepareChange.mutate({
      ...rest,
      version: order.version,
      baseVersion: base.version,
      change: encodeMapChange(base.map, map),
    });
    return reply.kind === "baseUnknown" ? undefined : reply;
  }

  #orderEngine(order: GroupOrder, epoch: number): Promise<GroupOrderResult> {
    return this.#openEngine().sendOrder(order, epoch);
  }

  #openEngine(): EngineClient {
    this.#engine ??= EngineClient.create(this.#options.engineAddress);
    return this.#engine;
  }
}

interface SentOrder extends Leadership {
  readonly order: GroupOrder;
  readonly epoch: number;
}
