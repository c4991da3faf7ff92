/**
 * Relays a coordinator's calls from this agent to other agents, so that the
 * coordinator of a large group makes fewer calls. The choice counts of the polled
 * ranks are summed into one.
 */

import type { Leadership } from "@dandelionbank/elect-coordinator";
import {
  type ChangeReply,
  type ChangeRequest,
  createRankClient,
  decodeMap,
  encodeCounts,
  type EncodedOrder,
  type OrderReply,
  type PollReply,
  type PollRequest,
  type RankClient,
  type RankHandlers,
  type RelayedCall,
  type RelayedReply,
  type RelayReply,
  type RelayRequest,
  sumEncodedCounts,
} from "@dandelionbank/rank-api";
import type { GroupOrder } from "@dandelionbank/types";

/** Agents are near; one that takes longer is frozen or down. */
const CALL_TIMEOUT_MS = 250;
/**
 * Enough for the agents of one data centre, including those of former ranks.
 */
const MAX_CLIENTS = 64;
/**
 * Choices counted since an older snapshot do not reflect the current demand.
 */
const MAX_SNAPSHOT_AGE_MS = 1_000;

export interface CallRelayOptions {
  /** `IP:PORT` of the agent in this process. */
  readonly ownAddress: string;
  readonly localAgent: Pick<RankHandlers, "poll" | "order" | "prepareChange">;
}

type RelayedResult = Extract<RelayReply, { readonly kind: "relayed" }>;

interface Snapshot {
  readonly number: number;
  readonly atMs: number;
}

export class CallRelay {
  readonly #options: CallRelayOptions;
  readonly #clients = new Map<string, RankClient>();
  /** The last snapshot received from each agent, by its address. */
  readonly #snapshots = new Map<string, Snapshot>();

  private constructor(options: CallRelayOptions) {
    this.#options = options;
  }

  static create(options: CallRelayOptions): CallRelay {
    return new CallRelay(options);
  }

  async relayCall(
    { addresses, call, ...leadership }: RelayRequest,
  ): Promise<RelayedResult> {
    const replies = await Promise.all(addresses.map(async (address) => {
      try {
        return call.kind === "poll"
          ? await this.#poll(address, { ...leadership, ...call })
          : await this.#order(address, { leadership, call });
      } catch {
        // The coordinator calls this agent directly next, and logs why that
        // fails.
        return null;
      }
    }));
    const choices = sumEncodedCounts(
      replies.flatMap((reply) =>
        reply?.kind === "polled" && reply.choices !== undefined
          ? [reply.choices.counts]
          : []
      ),
    );
    return {
      kind: "relayed",
      replies: replies.map((reply) =>
        reply?.kind === "polled" ? { ...reply, choices: undefined } : reply
      ),
      choices: choices === undefined ? undefined : encodeCounts(choices),
    };
  }

  async #poll(
    address: string,
    { withChoices, ...leadership }: Leadership & {
      readonly withChoices: boolean;
    },
  ): Promise<RelayedReply> {
    const { group, term, coordinator, rank } = leadership;
    const request: PollRequest = {
      group,
      term,
      coordinator,
      rank,
      withChoices,
      sinceSnapshot: this.#lastSnapshot(address),
    };
    const reply = await this.#getAgentCalls(address).poll(request);
    if (reply.kind === "polled" && reply.choices !== undefined) {
      const { snapshot } = reply.choices;
      const atMs = performance.now();
      this.#snapshots.set(address, { number: snapshot, atMs });
    }
    return reply;
  }

  #lastSnapshot(address: string): number {
    const last = this.#snapshots.get(address);
    if (last === undefined) return 0;
    const isRecent = performance.now() - last.atMs < MAX_SNAPSHOT_AGE_MS;
    return isRecent ? last.number : 0;
  }

  async #order(
    address: string,
    { leadership, call }: {
      readonly leadership: Leadership;
      readonly call: OrderCall;
    },
  ): Promise<RelayedReply> {
    const agent = this.#getAgentCalls(address);
    if (call.kind === "order") {
      const { order, epoch } = call;
      return await agent.order({ ...leadership, order, epoch });
    }
    const { epoch, version, baseVersion, change } = call;
    const map = { epoch, version, baseVersion, change };
    return await agent.prepareChange({ ...leadership, ...map });
  }

  #getAgentCalls(address: string): AgentCalls {
    const { ownAddress, localAgent } = this.#options;
    return address === ownAddress
      ? createLocalCalls(localAgent)
      : createRemoteCalls(this.#getClient(address));
  }

  close(): void {
    this.#closeOldestClients(0);
  }

  #getClient(address: string): RankClient {
    const existing = this.#clients.get(address);
    if (existing !== undefined) return existing;
    const client = createRankClient({ address, timeoutMs: CALL_TIMEOUT_MS });
    this.#clients.set(address, client);
    this.#closeOldestClients(MAX_CLIENTS);
    return client;
  }

  #closeOldestClients(maxCount: number): void {
    for (const [address, client] of this.#clients) {
      if (this.#clients.size <= maxCount) return;
      this.#clients.delete(address);
      client.close();
    }
  }
}

type OrderCall = Exclude<RelayedCall, { readonly kind: "poll" }>;

interface EncodedRequest extends Leadership {
  readonly epoch: number;
  readonly order: EncodedOrder;
}

/** Calls to an agent, which is either another process or this one. */
interface AgentCalls {
  poll(request: PollRequest): Promise<PollReply>;
  order(request: EncodedRequest): Promise<OrderReply>;
  prepareChange(request: ChangeRequest): Promise<ChangeReply>;
}

function createRemoteCalls({ calls }: RankClient): AgentCalls {
  return {
    // Undefined fields are dropped by the JSON encoding.
    poll: async (request) => await calls.poll.mutate(request) as PollReply,
    order: (request) => calls.order.mutate(request),
    prepareChange: (request) => calls.prepareChange.mutate(request),
  };
}

function createLocalCalls(
  localAgent: CallRelayOptions["localAgent"],
): AgentCalls {
  return {
    poll: (request) => localAgent.poll(request),
    order: ({ order, ...rest }) =>
      localAgent.order({ ...rest, order: decodeOrder(order) }),
    prepareChange: (request) => localAgent.prepareChange(request),
  };
}

function decodeOrder(order: EncodedOrder): GroupOrder {
  if (!("map" in order)) return order;
  return { ...order, map: decodeMap(order.map) };
}
