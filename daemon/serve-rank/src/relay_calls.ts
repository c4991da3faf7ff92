/** An agent's part in passing a coordinator's calls on to other agents. */

import type { Leadership } from "@dandelionbank/lead-group";
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

/** Agents are near; one that takes longer is frozen or gone. */
const CALL_TIMEOUT_MS = 250;
/** Agents of one data centre, with those of ranks that are gone. */
const MAX_CLIENTS = 64;
/** Choices since an older snapshot say nothing of what is in demand now. */
const MAX_SNAPSHOT_AGE_MS = 1_000;

export interface CallRelayOptions {
  /** `IP:PORT` of the agent in this process. */
  readonly ownAddress: string;
  readonly own: Pick<RankHandlers, "poll" | "order" | "prepareChange">;
}

type Relayed = Extract<RelayReply, { readonly kind: "relayed" }>;

interface Snapshot {
  readonly number: number;
  readonly atMs: number;
}

export class CallRelay {
  readonly #options: CallRelayOptions;
  readonly #clients = new Map<string, RankClient>();
  /** The last one that each agent told, by its address. */
  readonly #snapshots = new Map<string, Snapshot>();

  private constructor(options: CallRelayOptions) {
    this.#options = options;
  }

  static create(options: CallRelayOptions): CallRelay {
    return new CallRelay(options);
  }

  async pass(
    { addresses, call, ...leadership }: RelayRequest,
  ): Promise<Relayed> {
    const replies = await Promise.all(addresses.map(async (address) => {
      try {
        return call.kind === "poll"
          ? await this.#poll(address, { ...leadership, ...call })
          : await this.#order(address, { leadership, call });
      } catch {
        // The coordinator calls it directly next, and logs why that fails.
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
    const { term, coordinator, rank } = leadership;
    const request: PollRequest = {
      term,
      coordinator,
      rank,
      withChoices,
      sinceSnapshot: this.#lastSnapshot(address),
    };
    const reply = await this.#openWay(address).poll(request);
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
    const way = this.#openWay(address);
    if (call.kind === "order") {
      const { order, epoch } = call;
      return await way.order({ ...leadership, order, epoch });
    }
    const { epoch, version, baseVersion, change } = call;
    const map = { epoch, version, baseVersion, change };
    return await way.prepareChange({ ...leadership, ...map });
  }

  #openWay(address: string): AgentWay {
    const { ownAddress, own } = this.#options;
    return address === ownAddress
      ? createOwnWay(own)
      : createWay(this.#open(address));
  }

  close(): void {
    this.#closeOldest(0);
  }

  #open(address: string): RankClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = createRankClient({ address, timeoutMs: CALL_TIMEOUT_MS });
    this.#clients.set(address, client);
    this.#closeOldest(MAX_CLIENTS);
    return client;
  }

  #closeOldest(kept: number): void {
    for (const [address, client] of this.#clients) {
      if (this.#clients.size <= kept) return;
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

/** How an agent is called, be it this one or another. */
interface AgentWay {
  poll(request: PollRequest): Promise<PollReply>;
  order(request: EncodedRequest): Promise<OrderReply>;
  prepareChange(request: ChangeRequest): Promise<ChangeReply>;
}

function createWay({ calls }: RankClient): AgentWay {
  return {
    // Fields that are undefined are left out on the way.
    poll: async (request) => await calls.poll.mutate(request) as PollReply,
    order: (request) => calls.order.mutate(request),
    prepareChange: (request) => calls.prepareChange.mutate(request),
  };
}

function createOwnWay(own: CallRelayOptions["own"]): AgentWay {
  return {
    poll: (request) => own.poll(request),
    order: ({ order, ...rest }) =>
      own.order({ ...rest, order: decodeOrder(order) }),
    prepareChange: (request) => own.prepareChange(request),
  };
}

function decodeOrder(order: EncodedOrder): GroupOrder {
  if (order.kind !== "prepare") return order;
  return { ...order, map: decodeMap(order.map) };
}
