/** An agent's part in passing a coordinator's calls on to other agents. */

import {
  createRankClient,
  decodeMap,
  type RankClient,
  type RankHandlers,
  type RelayedCall,
  type RelayedReply,
  type RelayRequest,
} from "@dandelionbank/rank-api";

/** Agents are near; one that takes longer is frozen or gone. */
const CALL_TIMEOUT_MS = 250;
/** Agents of one data centre, with those of ranks that are gone. */
const MAX_CLIENTS = 64;

export interface CallRelayOptions {
  /** `IP:PORT` of the agent in this process. */
  readonly ownAddress: string;
  readonly own: Pick<RankHandlers, "poll" | "order" | "prepareChange">;
}

export class CallRelay {
  readonly #options: CallRelayOptions;
  readonly #clients = new Map<string, RankClient>();

  private constructor(options: CallRelayOptions) {
    this.#options = options;
  }

  static create(options: CallRelayOptions): CallRelay {
    return new CallRelay(options);
  }

  /** Replies in the order of the addresses; `null` for one without a reply. */
  async pass(
    { addresses, call, ...leadership }: RelayRequest,
  ): Promise<readonly (RelayedReply | null)[]> {
    return await Promise.all(addresses.map(async (address) => {
      try {
        return address === this.#options.ownAddress
          ? await callOwn(this.#options.own, { ...leadership, call })
          : await callOther(this.#open(address), { ...leadership, call });
      } catch {
        // The coordinator calls it directly next, and logs why that fails.
        return null;
      }
    }));
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

type CallByLeader = Omit<RelayRequest, "addresses">;

/** A poll that is passed on brings the report alone. */
const REPORT_ONLY = { withChoices: false, sinceSnapshot: 0 } as const;

async function callOther(
  { calls }: RankClient,
  { call, ...leadership }: CallByLeader,
): Promise<RelayedReply> {
  switch (call.kind) {
    case "poll":
      // Fields that are undefined are left out on the way.
      return await calls.poll.mutate({
        ...leadership,
        ...REPORT_ONLY,
      }) as RelayedReply;
    case "order": {
      const { order, epoch } = call;
      return await calls.order.mutate({ ...leadership, order, epoch });
    }
    case "prepareChange": {
      const { kind: _kind, ...change } = call;
      return await calls.prepareChange.mutate({ ...leadership, ...change });
    }
  }
}

async function callOwn(
  own: CallRelayOptions["own"],
  { call, ...leadership }: CallByLeader,
): Promise<RelayedReply> {
  switch (call.kind) {
    case "poll":
      return await own.poll({ ...leadership, ...REPORT_ONLY });
    case "order": {
      const { epoch } = call;
      return await own.order({
        ...leadership,
        order: decodeOrder(call),
        epoch,
      });
    }
    case "prepareChange": {
      const { kind: _kind, ...change } = call;
      return await own.prepareChange({ ...leadership, ...change });
    }
  }
}

function decodeOrder({ order }: Extract<RelayedCall, { kind: "order" }>) {
  if (order.kind !== "prepare") return order;
  return { ...order, map: decodeMap(order.map) };
}
