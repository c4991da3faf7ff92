/** The coordinator's way to one rank: by its agent, or past it. */

import type { Leadership } from "@dandelionbank/lead-group";
import { EngineClient } from "@dandelionbank/platform-adapter";
import {
  createRankClient,
  type EncodedOrder,
  encodeMap,
  encodeMapChange,
  type OrderReply,
  type PollReply,
  type RankClient,
  type RankHandlers,
  type RelayedCall,
  type RelayReply,
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
  readonly dataCentre: string;
  /** The agent in this process, for the coordinator's own rank. */
  readonly localAgent: RankHandlers | undefined;
  /** Calls that the coordinator has under way at a time. */
  readonly concurrentCalls: number;
}

/** Whether an order goes by the agent, past it, or past it if it is silent. */
export type OrderRoute = "agent" | "direct" | "agentOrDirect";

export interface LinkPoll {
  readonly leadership: Leadership;
  readonly withChoices: boolean;
}

/** An order as the coordinator sends it. */
export interface SentOrder extends Leadership {
  readonly order: GroupOrder;
  readonly epoch: number;
}

export interface PreparedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

export class RankLink {
  readonly #options: RankLinkOptions;
  readonly #client: RankClient | undefined;
  #engine: EngineClient | undefined;
  #lastSnapshot = 0;
  #failures = 0;
  #askedAtMs: number | undefined;
  #lastFailure = "not asked";
  #base: PreparedMap | undefined;

  private constructor(options: RankLinkOptions) {
    this.#options = options;
    const { localAgent, agentAddress, concurrentCalls } = options;
    if (localAgent !== undefined) return;
    this.#client = createRankClient({
      address: agentAddress,
      timeoutMs: CALL_TIMEOUT_MS + concurrentCalls * CALL_TIMEOUT_PER_LINK_MS,
    });
  }

  static create(options: RankLinkOptions): RankLink {
    return new RankLink(options);
  }

  get agentAddress(): string {
    return this.#options.agentAddress;
  }

  get dataCentre(): string {
    return this.#options.dataCentre;
  }

  /** Whether the agent, another process, has answered when it was asked last. */
  get isHealthy(): boolean {
    return this.#client !== undefined && this.#askedAtMs !== undefined &&
      this.#failures === 0;
  }

  /** Why the agent did not answer last. */
  get lastFailure(): string {
    return this.#lastFailure;
  }

  /** The last map that the agent has passed on. */
  get baseMap(): PreparedMap | undefined {
    return this.#base;
  }

  /** `undefined` if the agent does not answer. */
  async poll(
    { leadership, withChoices }: LinkPoll,
  ): Promise<PollReply | undefined> {
    const nowMs = performance.now();
    const isFailing = this.#failures >= MAX_FAILURES;
    const sinceMs = nowMs - (this.#askedAtMs ?? 0);
    if (isFailing && sinceMs < FAILED_INTERVAL_MS) return undefined;
    this.#askedAtMs = nowMs;
    const request = {
      ...leadership,
      withChoices,
      sinceSnapshot: this.#lastSnapshot,
    };
    try {
      const reply = await (this.#options.localAgent?.poll(request) ??
        this.#client!.calls.poll.mutate(request));
      this.#failures = 0;
      if (reply.kind === "polled" && reply.choices !== undefined) {
        this.#lastSnapshot = reply.choices.snapshot;
      }
      return reply as PollReply;
    } catch (error) {
      this.recordFailure(String(error));
      return undefined;
    }
  }

  /** Its agent did not answer; it is no relay until it has. */
  recordFailure(reason: string): void {
    this.#failures += 1;
    this.#lastFailure = reason;
    this.#base = undefined;
  }

  /** Reads the engine past its agent. */
  readReport(): Promise<RankReport | undefined> {
    return this.#openEngine().readReport();
  }

  /** The term of a newer coordinator if the agent knows one. */
  async sendOrder(
    sent: SentOrder,
    way: OrderRoute,
  ): Promise<GroupOrderResult | { readonly newerTerm: number }> {
    const { order, epoch } = sent;
    if (way === "direct") return await this.#orderEngine(order, epoch);
    try {
      const reply = await (this.#options.localAgent?.order(sent) ??
        this.#callOrder(sent));
      this.recordOrderReply(order, reply);
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

  /** Passes a call on by this agent; `undefined` if it does not answer. */
  async relay(
    { leadership, addresses, call }: {
      readonly leadership: Leadership;
      readonly addresses: readonly string[];
      readonly call: RelayedCall;
    },
  ): Promise<RelayReply | undefined> {
    try {
      // Fields that are undefined are left out on the way.
      return await this.#client!.calls.relay.mutate({
        ...leadership,
        addresses: [...addresses],
        call,
      }) as RelayReply;
    } catch (error) {
      this.recordFailure(String(error));
      return undefined;
    }
  }

  /** What the reply to an order says of the map that the agent knows. */
  recordOrderReply(order: GroupOrder, reply: OrderReply): void {
    if (order.kind !== "prepare") return;
    const { version, map } = order;
    const isTaken = reply.kind === "ordered" && reply.result === "done";
    this.#base = isTaken ? { version, map } : undefined;
  }

  clearBaseMap(): void {
    this.#base = undefined;
  }

  async readExperts(): Promise<HeldExperts | undefined> {
    try {
      return await (this.#options.localAgent?.readExperts() ??
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

  /** A map goes as a change of the one that the agent knows, if it can. */
  async #callOrder(
    { order, epoch, ...leadership }: SentOrder,
  ): Promise<OrderReply> {
    const { calls } = this.#client!;
    const base = this.#base;
    if (order.kind === "prepare" && base !== undefined) {
      const change = encodeChange({ order, epoch, base });
      const reply = await calls.prepareChange.mutate({
        ...leadership,
        ...change,
      });
      if (reply.kind !== "baseUnknown") return reply;
    }
    return await calls.order.mutate({
      ...leadership,
      epoch,
      order: encodeOrder(order),
    });
  }

  #orderEngine(order: GroupOrder, epoch: number): Promise<GroupOrderResult> {
    return this.#openEngine().sendOrder(order, epoch);
  }

  #openEngine(): EngineClient {
    this.#engine ??= EngineClient.create(this.#options.engineAddress);
    return this.#engine;
  }
}

export function encodeOrder(order: GroupOrder): EncodedOrder {
  if (order.kind !== "prepare") return order;
  return { ...order, map: encodeMap(order.map) };
}

export function encodeChange(
  { order, epoch, base }: {
    readonly order: Extract<GroupOrder, { readonly kind: "prepare" }>;
    readonly epoch: number;
    readonly base: PreparedMap;
  },
) {
  return {
    epoch,
    version: order.version,
    baseVersion: base.version,
    change: encodeMapChange(base.map, order.map),
  };
}
