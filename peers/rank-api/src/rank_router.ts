/**
 * Router that the agent of each rank serves to the coordinator of its group.
 * Each request carries the coordinator's term, a number that rises with each new
 * coordinator of the group; an agent that knows a newer term, or whose rank
 * belongs to another group, rejects the request. A request can be relayed: the
 * receiving agent then calls several others and returns their replies together.
 */

import type { Leadership } from "@dandelionbank/elect-coordinator";
import type {
  GroupOrder,
  GroupOrderResult,
  HeldExperts,
  MapOrder,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";
import { decodeMap } from "./encode_map.ts";

/** Rejection of a stale term; the calling coordinator steps down. */
export interface NewerTerm {
  readonly kind: "newer";
  readonly term: number;
}

/** Rejection of a call for another group than the one the rank belongs to. */
export interface OtherGroup {
  readonly kind: "otherGroup";
}

export interface PollRequest extends Leadership {
  /** Number of the last snapshot that the coordinator received; 0 for none. */
  readonly sinceSnapshot: number;
  /** False to request the report only. */
  readonly withChoices: boolean;
}

/** How often the requests of a rank have chosen each expert. */
export interface EncodedChoices {
  /** Number of the snapshot, which the next poll names in `sinceSnapshot`. */
  readonly snapshot: number;
  /** The group's epoch, which increases whenever the group forms anew. */
  readonly epoch: number;
  /** Counts since `sinceSnapshot`, encoded by `encodeCounts`. */
  readonly counts: string;
}

export type PollReply =
  | NewerTerm
  | OtherGroup
  | {
    readonly kind: "polled";
    /** Undefined if the engine does not answer or belongs to no group. */
    readonly report: RankReport | undefined;
    readonly choices: EncodedChoices | undefined;
    readonly orders: OrderForwardingState;
  };

export interface OrderRequest extends Leadership {
  readonly order: GroupOrder;
  readonly epoch: number;
}

export type OrderReply =
  | NewerTerm
  | OtherGroup
  | { readonly kind: "ordered"; readonly result: GroupOrderResult };

/** A new map, sent as a change of one that the agent forwarded to its engine. */
export interface MapChange {
  readonly epoch: number;
  readonly version: number;
  readonly baseVersion: number;
  /** Encoded by `encodeMapChange`. */
  readonly change: string;
}

export interface ChangeRequest extends Leadership, MapChange {}

export type ChangeReply =
  | OrderReply
  /** The agent does not have the base map; send it the complete map. */
  | { readonly kind: "baseUnknown" };

/** An order in its form on the wire. */
export type EncodedOrder =
  | Exclude<GroupOrder, MapOrder>
  | {
    readonly kind: MapOrder["kind"];
    readonly version: number;
    /** Encoded by `encodeMap`. */
    readonly map: string;
  };

/** Call that a relaying agent makes to each of the addresses. */
export type RelayedCall =
  | { readonly kind: "poll"; readonly withChoices: boolean }
  | {
    readonly kind: "order";
    readonly epoch: number;
    readonly order: EncodedOrder;
  }
  | ({ readonly kind: "prepareChange" } & MapChange);

export interface RelayRequest extends Leadership {
  /** Agents as `IP:PORT`; may include the relaying agent itself. */
  readonly addresses: readonly string[];
  readonly call: RelayedCall;
}

export type RelayedReply = PollReply | ChangeReply;

export type RelayReply =
  | NewerTerm
  | OtherGroup
  | {
    readonly kind: "relayed";
    /**
     * In the order of the addresses; `null` where the agent did not reply.
     * Choice counts are left out of the replies and summed in `choices`.
     */
    readonly replies: readonly (RelayedReply | null)[];
    /** Sum over all agents that replied, encoded by `encodeCounts`. */
    readonly choices: string | undefined;
  };

export interface RankHandlers {
  poll(request: PollRequest): Promise<PollReply>;
  order(request: OrderRequest): Promise<OrderReply>;
  prepareChange(request: ChangeRequest): Promise<ChangeReply>;
  relay(request: RelayRequest): Promise<RelayReply>;
  readExperts(): Promise<HeldExperts | undefined>;
}

const COUNT = v.pipe(v.number(), v.integer(), v.minValue(0));
const LEADERSHIP_FIELDS = {
  group: v.pipe(v.string(), v.maxLength(256)),
  term: COUNT,
  coordinator: v.pipe(v.string(), v.minLength(1), v.maxLength(256)),
  rank: COUNT,
};
/** Text that `encodeMap` returned, decoded. */
const ENCODED_MAP = v.pipe(
  v.string(),
  v.rawTransform(({ dataset, addIssue, NEVER }) => {
    try {
      return decodeMap(dataset.value);
    } catch (error) {
      addIssue({ message: String(error) });
      return NEVER;
    }
  }),
);
const POLL_SCHEMA = v.object({
  ...LEADERSHIP_FIELDS,
  sinceSnapshot: COUNT,
  withChoices: v.boolean(),
});
const MAPLESS_ORDER_SCHEMAS = [
  v.object({ kind: v.literal("arm"), version: COUNT, step: COUNT }),
  v.object({ kind: v.literal("hold"), step: COUNT }),
  v.object({ kind: v.literal("release"), step: COUNT }),
  v.object({ kind: v.literal("disarm"), version: COUNT }),
] as const;
const MAP_ORDER = {
  kind: v.picklist(["prepare", "supersede"]),
  version: COUNT,
};
const ORDER_SCHEMA = v.object({
  ...LEADERSHIP_FIELDS,
  epoch: COUNT,
  order: v.variant("kind", [
    v.object({ ...MAP_ORDER, map: ENCODED_MAP }),
    ...MAPLESS_ORDER_SCHEMAS,
  ]),
});
const MAP_CHANGE = {
  epoch: COUNT,
  version: COUNT,
  baseVersion: COUNT,
  change: v.string(),
};
const CHANGE_SCHEMA = v.object({ ...LEADERSHIP_FIELDS, ...MAP_CHANGE });
/**
 * Suffices for groups of up to 4096 ranks: a relay calls at most as many agents as
 * the square root of the group's size.
 */
const MAX_RELAY_ADDRESSES = 64;
const RELAY_SCHEMA = v.object({
  ...LEADERSHIP_FIELDS,
  addresses: v.pipe(v.array(v.string()), v.maxLength(MAX_RELAY_ADDRESSES)),
  call: v.variant("kind", [
    v.object({ kind: v.literal("poll"), withChoices: v.boolean() }),
    v.object({
      kind: v.literal("order"),
      epoch: COUNT,
      order: v.variant("kind", [
        v.object({ ...MAP_ORDER, map: v.string() }),
        ...MAPLESS_ORDER_SCHEMAS,
      ]),
    }),
    v.object({ kind: v.literal("prepareChange"), ...MAP_CHANGE }),
  ]),
});

export type RankRouter = ReturnType<typeof createRankRouter>;

export function createRankRouter(handlers: RankHandlers) {
  const trpc = initTRPC.create();
  return trpc.router({
    poll: trpc.procedure
      .input(POLL_SCHEMA)
      .mutation(({ input }) => handlers.poll(input)),
    order: trpc.procedure
      .input(ORDER_SCHEMA)
      .mutation(({ input }) => handlers.order(input)),
    prepareChange: trpc.procedure
      .input(CHANGE_SCHEMA)
      .mutation(({ input }) => handlers.prepareChange(input)),
    relay: trpc.procedure
      .input(RELAY_SCHEMA)
      .mutation(({ input }) => handlers.relay(input)),
    readExperts: trpc.procedure.query(() => handlers.readExperts()),
  });
}
