/**
 * The coordinator's link to one rank, through its agent or directly to its
 * engine.
 */

import type { Leadership } from "@dandelionbank/elect-coordinator";
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
  type RelayedReply,
  type RelayReply,
} from "@dandelionbank/rank-api";
import type {
  ExpertMap,
  GroupOrder,
  GroupOrderResult,
  HeldExperts,
  RankReport,
} from "@dandelionbank/types";

/** Agents are near; one that takes longer is frozen or down. */
const CALL_TIMEOUT_MS = 200;
/** The calls of a round are sent, and their answers read, one after another. */
const CALL_TIMEOUT_PER_LINK_MS = 8;
/** Consecutive failed polls after which a rank is polled less often. */
const MAX_FAILURES = 3;
/** Poll interval of a rank after that many failed polls. */
const FAILED_INTERVAL_MS = 500;
/** Poll interval of a rank in another group, which it seldom leaves. */
const OTHER_GROUP_INTERVAL_MS = 2_000;

export interface RankLinkOptions {
  /** `IP:PORT` of the agent. */
  readonly agentAddress: string;
  /** `IP:PORT` of the engine. */
  readonly engineAddress: string;
  readonly dataCentre: string;
  /** The agent in this process, for the coordinator's own rank. */
  readonly localAgent: RankHandlers | undefined;
  /** Number of calls that the coordinator makes concurrently. */
  readonly concurrentCalls: number;
}

/**
 * Whether an order is sent through the agent, directly to the engine, or
 * directly only if the agent does not answer.
 */
export type OrderRoute = "agent" | "direct" | "agentOrDirect";

/** Result of an order, or the newer term that the rank's agent follows. */
export type OrderOutcome =
  | GroupOrderResult
  | { readonly newerTerm: number };

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
  #polledAtMs: number | undefined;
  #lastFailure = "not polled yet";
  #baseMap: PreparedMap | undefined;
  #isInOtherGroup = false;

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

  /**
   * True if the agent is another process, belongs to the group and answered the
   * last call.
   */
  get isResponsive(): boolean {
    return this.#client !== undefined && this.#polledAtMs !== undefined &&
      this.#failures === 0 && !this.#isInOtherGroup;
  }

  /** False if the rank is in another group and was polled recently. */
  get isPollDue(): boolean {
    const sincePollMs = performance.now() - (this.#polledAtMs ?? 0);
    return !this.#isInOtherGroup || sincePollMs >= OTHER_GROUP_INTERVAL_MS;
  }

  /** Reason of the agent's last failure to answer. */
  get lastFailure(): string {
    return this.#lastFailure;
  }

  /**
   * The last map that the agent forwarded to its engine; the next one is sent as
   * a change of it.
   */
  get baseMap(): PreparedMap | undefined {
    return this.#baseMap;
  }

  /** Polls the rank; undefined if its agent does not answer. */
  async poll(
    { leadership, withChoices }: LinkPoll,
  ): Promise<PollReply | undefined> {
    const nowMs = performance.now();
    const isFailing = this.#failures >= MAX_FAILURES;
    const sincePollMs = nowMs - (this.#polledAtMs ?? 0);
    if (isFailing && sincePollMs < FAILED_INTERVAL_MS) return undefined;
    this.#polledAtMs = nowMs;
    const request = {
      ...leadership,
      withChoices,
      sinceSnapshot: this.#lastSnapshot,
    };
    try {
      const reply = await (this.#options.localAgent?.poll(request) ??
        this.#client!.calls.poll.mutate(request));
      this.#failures = 0;
      this.recordGroup(reply.kind);
      if (reply.kind === "polled" && reply.choices !== undefined) {
        this.#lastSnapshot = reply.choices.snapshot;
      }
      return reply as PollReply;
    } catch (error) {
      this.recordFailure(String(error));
      return undefined;
    }
  }

  /** Records from the kind of a reply whether the rank is in the group. */
  recordGroup(kind: RelayedReply["kind"]): void {
    this.#isInOtherGroup = kind === "otherGroup";
  }

  /** Records that the agent did not answer; it is no relay until it answers. */
  recordFailure(reason: string): void {
    this.#failures += 1;
    this.#lastFailure = reason;
    this.#baseMap = undefined;
  }

  /** Reads the report directly from the engine. */
  readReport(): Promise<RankReport | undefined> {
    return this.#openEngine().readReport();
  }

  /**
   * Sends an order; returns the term of a newer coordinator if the agent knows
   * one.
   */
  async sendOrder(
    sent: SentOrder,
    route: OrderRoute,
  ): Promise<OrderOutcome> {
    const { order, epoch } = sent;
    if (route === "direct") return await this.#orderEngine(order, epoch);
    try {
      const reply = await (this.#options.localAgent?.order(sent) ??
        this.#callOrder(sent));
      this.recordOrderReply(order, reply);
      return readOutcome(reply);
    } catch (error) {
      this.#lastFailure = String(error);
      this.#baseMap = undefined;
      // The agent may be down while its engine waits for the order.
      return route === "agentOrDirect"
        ? await this.#orderEngine(order, epoch)
        : "lost";
    }
  }

  /** Has this agent relay a call; undefined if it does not answer. */
  async relay(
    { leadership, addresses, call }: {
      readonly leadership: Leadership;
      readonly addresses: readonly string[];
      readonly call: RelayedCall;
    },
  ): Promise<RelayReply | undefined> {
    try {
      // Undefined fields are dropped by the JSON encoding.
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

  /** Updates the base map from the agent's reply to an order. */
  recordOrderReply(order: GroupOrder, reply: OrderReply): void {
    if (order.kind !== "prepare") return;
    const { version, map } = order;
    const isAccepted = reply.kind === "ordered" && reply.result === "done";
    this.#baseMap = isAccepted ? { version, map } : undefined;
  }

  clearBaseMap(): void {
    this.#baseMap = undefined;
  }

  /** Reads the experts that the rank holds, even if its agent does not answer. */
  async readExperts(): Promise<HeldExperts | undefined> {
    try {
      return await (this.#options.localAgent?.readExperts() ??
        this.#client!.calls.readExperts.query());
    } catch (error) {
      this.#lastFailure = String(error);
      return await this.#openEngine().readExperts();
    }
  }

  close(): void {
    this.#client?.close();
    void this.#engine?.close().catch(() => undefined);
  }

  /** Sends a map as a change of the agent's base map if there is one. */
  async #callOrder(
    { order, epoch, ...leadership }: SentOrder,
  ): Promise<OrderReply> {
    const { calls } = this.#client!;
    const base = this.#baseMap;
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

/** An order that was rejected because of the group has not been forwarded. */
export function readOutcome(reply: OrderReply): OrderOutcome {
  if (reply.kind === "newer") return { newerTerm: reply.term };
  return reply.kind === "otherGroup" ? "conflict" : reply.result;
}

export function encodeOrder(order: GroupOrder): EncodedOrder {
  if (!("map" in order)) return order;
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
