/** What an agent beside a rank answers the group's coordinator. */

import type { Leadership } from "@dandelionbank/lead-group";
import type {
  GroupOrder,
  GroupOrderResult,
  HeldExperts,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";
import { decodeMap } from "./encode_map.ts";

/** A newer coordinator is known; the caller steps down. */
export interface NewerTerm {
  readonly kind: "newer";
  readonly term: number;
}

export interface PollRequest extends Leadership {
  /** Number of the last snapshot that the coordinator has; 0 for none. */
  readonly sinceSnapshot: number;
  /** False if only the report is wanted. */
  readonly withChoices: boolean;
}

export interface Choices {
  readonly snapshot: number;
  readonly epoch: number;
  /** Choices since the snapshot that the coordinator has, as `encodeCounts`. */
  readonly counts: string;
}

export type PollReply =
  | NewerTerm
  | {
    readonly kind: "polled";
    /** Undefined if the engine does not answer or is in no group. */
    readonly report: RankReport | undefined;
    readonly choices: Choices | undefined;
    readonly orders: OrderForwardingState;
  };

export interface OrderRequest extends Leadership {
  readonly order: GroupOrder;
  readonly epoch: number;
}

export type OrderReply =
  | NewerTerm
  | { readonly kind: "ordered"; readonly result: GroupOrderResult };

/** A map that is told as a change of one the agent has passed on. */
export interface MapChange {
  readonly epoch: number;
  readonly version: number;
  readonly baseVersion: number;
  /** As `encodeMapChange` writes it. */
  readonly change: string;
}

export interface ChangeRequest extends Leadership, MapChange {}

export type ChangeReply =
  | OrderReply
  /** The agent does not know the base; it needs the whole map. */
  | { readonly kind: "baseUnknown" };

/** An order as it is sent. */
export type EncodedOrder =
  | Exclude<GroupOrder, { readonly kind: "prepare" }>
  | {
    readonly kind: "prepare";
    readonly version: number;
    /** As `encodeMap` writes it. */
    readonly map: string;
  };

/** What an agent calls others for. */
export type RelayedCall =
  | { readonly kind: "poll"; readonly withChoices: boolean }
  | {
    readonly kind: "order";
    readonly epoch: number;
    readonly order: EncodedOrder;
  }
  | ({ readonly kind: "prepareChange" } & MapChange);

export interface RelayRequest extends Leadership {
  /** Agents, `IP:PORT`; the one that is asked may be among them. */
  readonly addresses: readonly string[];
  readonly call: RelayedCall;
}

export type RelayedReply = PollReply | ChangeReply;

export type RelayReply =
  | NewerTerm
  | {
    readonly kind: "relayed";
    /**
     * In the order of the addresses; `null` for one without a reply. Choices
     * are not among them, but added up beside.
     */
    readonly replies: readonly (RelayedReply | null)[];
    /** Of all that replied together, as `encodeCounts`. */
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
const LEADERSHIP = {
  term: COUNT,
  coordinator: v.pipe(v.string(), v.minLength(1), v.maxLength(256)),
  rank: COUNT,
};
/** As `encodeMap` writes it. */
const MAP = v.pipe(
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
  ...LEADERSHIP,
  sinceSnapshot: COUNT,
  withChoices: v.boolean(),
});
const STEP_ORDERS = [
  v.object({ kind: v.literal("arm"), version: COUNT, step: COUNT }),
  v.object({ kind: v.literal("hold"), step: COUNT }),
  v.object({ kind: v.literal("release"), step: COUNT }),
] as const;
const PREPARE = { kind: v.literal("prepare"), version: COUNT };
const ORDER_SCHEMA = v.object({
  ...LEADERSHIP,
  epoch: COUNT,
  order: v.variant("kind", [
    v.object({ ...PREPARE, map: MAP }),
    ...STEP_ORDERS,
  ]),
});
const CHANGE = {
  epoch: COUNT,
  version: COUNT,
  baseVersion: COUNT,
  change: v.string(),
};
const CHANGE_SCHEMA = v.object({ ...LEADERSHIP, ...CHANGE });
const MAX_RELAYED = 64;
const RELAY_SCHEMA = v.object({
  ...LEADERSHIP,
  addresses: v.pipe(v.array(v.string()), v.maxLength(MAX_RELAYED)),
  call: v.variant("kind", [
    v.object({ kind: v.literal("poll"), withChoices: v.boolean() }),
    v.object({
      kind: v.literal("order"),
      epoch: COUNT,
      order: v.variant("kind", [
        v.object({ ...PREPARE, map: v.string() }),
        ...STEP_ORDERS,
      ]),
    }),
    v.object({ kind: v.literal("prepareChange"), ...CHANGE }),
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
