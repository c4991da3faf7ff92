/** What an agent beside a rank answers the group's coordinator. */

import type { Leadership } from "@dandelionbank/lead-group";
import type {
  AgentOrders,
  GroupOrder,
  GroupOrderResult,
  HeldExperts,
  RankReport,
} from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";

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
    readonly orders: AgentOrders;
  };

export interface OrderRequest extends Leadership {
  readonly order: GroupOrder;
  readonly epoch: number;
}

export type OrderReply =
  | NewerTerm
  | { readonly kind: "ordered"; readonly result: GroupOrderResult };

export interface RankHandlers {
  poll(request: PollRequest): Promise<PollReply>;
  order(request: OrderRequest): Promise<OrderReply>;
  readExperts(): Promise<HeldExperts | undefined>;
}

const COUNT = v.pipe(v.number(), v.integer(), v.minValue(0));
const LEADERSHIP = {
  term: COUNT,
  coordinator: v.pipe(v.string(), v.minLength(1), v.maxLength(256)),
  rank: COUNT,
};
const POLL_SCHEMA = v.object({
  ...LEADERSHIP,
  sinceSnapshot: COUNT,
  withChoices: v.boolean(),
});
const ORDER_SCHEMA = v.object({
  ...LEADERSHIP,
  epoch: COUNT,
  order: v.variant("kind", [
    v.object({
      kind: v.literal("prepare"),
      version: COUNT,
      map: v.array(v.array(v.array(COUNT))),
    }),
    v.object({ kind: v.literal("arm"), version: COUNT, step: COUNT }),
    v.object({ kind: v.literal("hold"), step: COUNT }),
    v.object({ kind: v.literal("release"), step: COUNT }),
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
    readExperts: trpc.procedure.query(() => handlers.readExperts()),
  });
}
